package backend

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/anvilfront/anvilfront/internal/verdict"
)

// TestPoolsOfFormerServers guards against memory that grows with each backend server that
// ever got a request: the pools of servers that have left stayed.
func TestPoolsOfFormerServers(t *testing.T) {
	is := is.New(t)
	const closing200 = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"
	const idleTimeout = time.Minute
	tr := New(Options{IdleTimeout: idleTimeout})
	for range 20 {
		s := listen(t, respondWith(closing200, true))
		is.Equal(tr.Do(context.Background(), attempt(s.Addr().String(), "GET")).Facts.ResponseState, verdict.ResponseComplete)
	}
	listed, inUse := listen(t, respondWith(closing200, true)), listen(t, respondWith(ok200, false))
	for _, s := range []*rawServer{listed, inUse} {
		is.Equal(tr.Do(context.Background(), attempt(s.Addr().String(), "GET")).Facts.ResponseState, verdict.ResponseComplete)
	}
	tr.pool(listed.Addr().String()).listed.Store(true)
	is.Equal(len(*tr.pools.Load()), 22)
	now := time.Now()
	tr.dropUnusedPools(now)
	tr.dropUnusedPools(now.Add(idleTimeout - 1))
	is.Equal(len(*tr.pools.Load()), 22) // not unused for long enough
	tr.dropUnusedPools(now.Add(idleTimeout))
	is.Equal(len(*tr.pools.Load()), 2)
	is.True((*tr.pools.Load())[listed.Addr().String()] != nil)
	is.True((*tr.pools.Load())[inUse.Addr().String()] != nil)
}
