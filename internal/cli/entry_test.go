package cli

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestEntryCommand guards against example settings with which the host does not
// start, a reload signal that ends the process, and a graceful stop that does not
// finish.
func TestEntryCommand(t *testing.T) {
	is := is.New(t)
	config := base64.StdEncoding.EncodeToString([]byte(`{"version":"r1","routes":[],"services":[]}`))
	store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/kv-watch" {
			select {
			case <-time.After(time.Second):
			case <-r.Context().Done():
			}
		}
		_, _ = fmt.Fprintf(w, `{"items":[{"key":"op/config","value":%q,"revision":1}],"events":[],"has_more":false,"current_rev":1}`, config)
	}))
	defer store.Close()
	raw, err := os.ReadFile("../../examples/settings-platform.toml")
	is.NoErr(err)
	text := regexp.MustCompile(`127\.0\.0\.1:8142`).ReplaceAllString(string(raw), strings.TrimPrefix(store.URL, "http://"))
	text = strings.Replace(text, `notice = "2300ms"`, `notice = "50ms"`, 1)
	ready := ""
	text = regexp.MustCompile(`(\w+) = "127\.0\.0\.1:[89]1\d\d"`).ReplaceAllStringFunc(text, func(m string) string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		defer func() { _ = l.Close() }()
		key, _, _ := strings.Cut(m, " ")
		if key == "ready" {
			ready = l.Addr().String()
		}
		return fmt.Sprintf("%s = %q", key, l.Addr())
	})
	path := filepath.Join(t.TempDir(), "settings.toml")
	is.NoErr(os.WriteFile(path, []byte(text), 0o600))
	done := make(chan int, 1)
	var stdout, stderr bytes.Buffer
	go func() { done <- Main([]string{"entry", "--settings", path}, &stdout, &stderr) }()
	status := func() int {
		resp, err := http.Get("http://" + ready + "/readiness")
		if err != nil {
			return 0
		}
		_ = resp.Body.Close()
		return resp.StatusCode
	}
	for end := time.Now().Add(10 * time.Second); status() != 200; time.Sleep(10 * time.Millisecond) {
		is.True(time.Now().Before(end)) // the host becomes ready
	}
	is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGHUP))
	time.Sleep(50 * time.Millisecond)
	is.Equal(status(), 200)
	is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGTERM))
	select {
	case code := <-done:
		is.Equal(code, ExitOK)
	case <-time.After(10 * time.Second):
		t.Fatal("the process did not exit within 10 s of SIGTERM")
	}
}
