package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"time"

	"github.com/go-faster/errors"

	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/tomlfile"
)

type checker struct {
	s        *Settings
	index    *tomlfile.Index
	problems *tomlfile.Problems
}

func (c *checker) bad(key, format string, args ...any) {
	c.problems.Add(c.index.Line(key), key, format, args...)
}

func (c *checker) run() {
	s := c.s
	c.text("name", manifest.CheckName(s.Name))
	c.text("data_centre", manifest.CheckName(s.DataCentre))
	c.listeners()
	for i, u := range s.Platform {
		c.text("platform", checkURL(u))
		c.duplicate("platform", s.Platform[:i], u)
	}
	for i, p := range s.Peers {
		c.text("peers", manifest.CheckAddress(p))
		c.duplicate("peers", s.Peers[:i], p)
	}
	if _, err := Level(s.LogLevel); err != nil {
		c.text("log_level", err.Error())
	}
	c.tls("caller_tls", s.CallerTLS, false)
	switch {
	case s.Plaintext && s.PeerTLS != (TLS{}):
		c.bad("peer_tls", "cannot be set together with plaintext = true")
	case !s.Plaintext:
		c.tls("peer_tls", s.PeerTLS, true)
	}
	c.entry()
	c.ints("max_header_bytes", s.MaxHeaderBytes, 1<<10, 1<<20)
	c.ints("max_body_bytes", s.MaxBodyBytes, 1<<10, 64<<20)
	c.ints("max_connections", s.MaxConnections, 1, 1<<20)
	c.duration("idle_timeout", s.IdleTimeout, time.Millisecond, time.Hour)
	c.duration("read_timeout", s.ReadTimeout, time.Millisecond, 10*time.Minute)
	c.duration("notice", s.Notice, 0, 10*time.Minute)
	c.duration("stop_bound", s.StopBound, time.Second, time.Hour)
}

func (c *checker) text(key, text string) {
	if text != "" {
		c.bad(key, "%s", text)
	}
}

// listeners checks the three listeners. Port 0 takes a free port and the
// unspecified address listens everywhere; peers need one that others reach.
func (c *checker) listeners() {
	seen := map[netip.AddrPort]string{}
	for _, l := range []struct{ key, address string }{
		{"listen", c.s.Listen}, {"peer", c.s.Peer}, {"operator", c.s.Operator},
	} {
		ap, err := netip.ParseAddrPort(l.address)
		switch {
		case l.address == "":
			c.bad(l.key, "is missing")
			continue
		case err != nil:
			c.bad(l.key, "%q is not IP:port; host names are not allowed", l.address)
			continue
		case ap.Addr().IsMulticast():
			c.bad(l.key, "%q is a multicast address", l.address)
		case l.key == "peer" && ap.Addr().IsUnspecified():
			c.bad(l.key, "%q is not an address that other entry hosts can reach", l.address)
		}
		if first := seen[ap]; first != "" && ap.Port() != 0 {
			c.bad(l.key, "%q is already used by %s", l.address, first)
		}
		seen[ap] = l.key
	}
}

// entry checks what only hosts that are configured by a feed need.
func (c *checker) entry() {
	for _, l := range []struct{ key, address string }{{"mesh", c.s.Mesh}, {"ready", c.s.Ready}} {
		if _, err := netip.ParseAddrPort(l.address); l.address != "" && err != nil {
			c.bad(l.key, "%q is not IP:port; host names are not allowed", l.address)
		}
	}
	if r := c.s.RetryRatio; r < 0 || r > 1 {
		c.bad("retry_ratio", "is %v, must be from 0 to 1", r)
	}
	if s := c.s.RetrySlack; s < 0 {
		c.bad("retry_slack", "is %v, must not be negative", s)
	}
	if m := c.s.MemoryMegabytes; m < 0 {
		c.bad("memory_megabytes", "is %d, must not be negative", m)
	}
}

// CheckEntry returns what a host that is configured by a feed lacks, or nil.
func (s *Settings) CheckFeedHost() error {
	switch {
	case s.Mesh == "":
		return errors.New("mesh: is missing")
	case s.Ready == "":
		return errors.New("ready: is missing")
	case len(s.Platform) == 0:
		return errors.New("platform: is missing")
	}
	return nil
}

func (c *checker) duplicate(key string, before []string, v string) {
	for _, b := range before {
		if b == v {
			c.bad(key, "%q is listed twice", v)
			return
		}
	}
}

func (c *checker) tls(key string, t TLS, peers bool) {
	if t == (TLS{}) && !peers {
		return
	}
	if t == (TLS{}) {
		c.bad(key, "is missing; give certificate files, or set plaintext = true for a trial")
		return
	}
	if t.Certificate == "" {
		c.bad(key+".certificate", "is missing")
	}
	if t.Key == "" {
		c.bad(key+".key", "is missing")
	}
	if peers && t.Authorities == "" {
		c.bad(key+".authorities", "is missing")
	}
}

func (c *checker) ints(key string, v, least, most int) {
	if v < least || v > most {
		c.bad(key, "is %d, must be from %d to %d", v, least, most)
	}
}

func (c *checker) duration(key string, v manifest.Duration, least, most time.Duration) {
	if d := time.Duration(v); d < least || d > most {
		c.bad(key, "is %v, must be from %v to %v", d, least, most)
	}
}

func checkURL(text string) string {
	u, err := url.Parse(text)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.User != nil || u.RawQuery != "" || u.Fragment != "" {
		return fmt.Sprintf("%q is not a URL of the form http://IP:port", text)
	}
	if text := manifest.CheckAddress(u.Host); text != "" {
		return text
	}
	return ""
}
