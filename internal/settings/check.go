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

// checker checks the decoded settings and collects every problem.
type checker struct {
	s        *Settings
	index    *tomlfile.Index
	problems *tomlfile.Problems
}

// report adds a problem at the line of key.
func (c *checker) report(key, format string, args ...any) {
	c.problems.Add(c.index.Line(key), key, format, args...)
}

func (c *checker) checkAll() {
	s := c.s
	c.reportNonEmpty("name", manifest.CheckName(s.Name))
	c.reportNonEmpty("data_centre", manifest.CheckName(s.DataCentre))
	c.listeners()
	for i, u := range s.Platform {
		c.reportNonEmpty("platform", urlProblem(u))
		c.duplicate("platform", s.Platform[:i], u)
	}
	for i, p := range s.Peers {
		c.reportNonEmpty("peers", manifest.CheckAddress(p))
		c.duplicate("peers", s.Peers[:i], p)
	}
	if _, err := Level(s.LogLevel); err != nil {
		c.reportNonEmpty("log_level", err.Error())
	}
	c.tls("caller_tls", s.CallerTLS, false)
	switch {
	case s.Plaintext && s.PeerTLS != (TLS{}):
		c.report("peer_tls", "cannot be set together with plaintext = true")
	case !s.Plaintext:
		c.tls("peer_tls", s.PeerTLS, true)
	}
	c.feedHost()
	c.intRange("max_header_bytes", s.MaxHeaderBytes, 1<<10, 1<<20)
	c.intRange("max_body_bytes", s.MaxBodyBytes, 1<<10, 64<<20)
	c.intRange("max_connections", s.MaxConnections, 1, 1<<20)
	c.durationRange("idle_timeout", s.IdleTimeout, time.Millisecond, time.Hour)
	c.durationRange("read_timeout", s.ReadTimeout, time.Millisecond, 10*time.Minute)
	c.durationRange("notice", s.Notice, 0, 10*time.Minute)
	c.durationRange("stop_bound", s.StopBound, time.Second, time.Hour)
}

// reportNonEmpty adds text as a problem of key, unless text is empty.
func (c *checker) reportNonEmpty(key, text string) {
	if text != "" {
		c.report(key, "%s", text)
	}
}

// listeners checks the addresses for callers, peers and operators. Port 0 selects
// a free port and the unspecified address listens on all interfaces. The peer
// address must be specific, because other entry hosts connect to it.
func (c *checker) listeners() {
	seen := map[netip.AddrPort]string{}
	for _, l := range []struct{ key, address string }{
		{"listen", c.s.Listen}, {"peer", c.s.Peer}, {"operator", c.s.Operator},
	} {
		ap, err := netip.ParseAddrPort(l.address)
		switch {
		case l.address == "":
			c.report(l.key, "is missing")
			continue
		case err != nil:
			c.report(l.key, "%q is not IP:port; host names are not allowed", l.address)
			continue
		case ap.Addr().IsMulticast():
			c.report(l.key, "%q is a multicast address", l.address)
		case l.key == "peer" && ap.Addr().IsUnspecified():
			c.report(l.key, "%q is not an address that other entry hosts can reach", l.address)
		}
		if first := seen[ap]; first != "" && ap.Port() != 0 {
			c.report(l.key, "%q is already used by %s", l.address, first)
		}
		seen[ap] = l.key
	}
}

// feedHost checks the settings that only hosts configured by a feed use.
func (c *checker) feedHost() {
	for _, l := range []struct{ key, address string }{{"mesh", c.s.Mesh}, {"ready", c.s.Ready}} {
		if _, err := netip.ParseAddrPort(l.address); l.address != "" && err != nil {
			c.report(l.key, "%q is not IP:port; host names are not allowed", l.address)
		}
	}
	if r := c.s.RetryRatio; r < 0 || r > 1 {
		c.report("retry_ratio", "is %v, must be from 0 to 1", r)
	}
	if s := c.s.RetrySlack; s < 0 {
		c.report("retry_slack", "is %v, must not be negative", s)
	}
	if m := c.s.MemoryMegabytes; m < 0 {
		c.report("memory_megabytes", "is %d, must not be negative", m)
	}
	c.clientLimits()
}

// clientLimits checks the limits on what clients may use of a host.
func (c *checker) clientLimits() {
	s := c.s
	c.intRange("ready_connections", s.ReadyConnections, 1, 1<<16)
	c.intRange("operator_connections", s.OperatorConnections, 1, 1<<16)
	c.intRange("peer_connections", s.PeerConnections, 1, 1<<16)
	for _, share := range []struct {
		key   string
		value float64
	}{
		{"body_memory_share", s.BodyMemoryShare}, {"request_memory_share", s.RequestMemoryShare},
		{"connection_memory_share", s.ConnectionMemoryShare}, {"descriptor_share", s.DescriptorShare}, {"client_share", s.ClientShare},
	} {
		if !(share.value > 0 && share.value <= 1) {
			c.report(share.key, "is %v, must be above 0 and at most 1", share.value)
		}
	}
	if sum := s.BodyMemoryShare + s.RequestMemoryShare + s.ConnectionMemoryShare; sum > 0.8 {
		c.report("body_memory_share", "and request_memory_share and connection_memory_share are %v together, must be at most 0.8", sum)
	}
	if s.MinClientRate < 1 || s.MinClientRate > 1<<30 {
		c.report("min_client_rate", "is %d, must be from 1 to %d", s.MinClientRate, 1<<30)
	}
	c.durationRange("slow_client_after", s.SlowClientAfter, time.Millisecond, 10*time.Minute)
}

// CheckFeedHost returns an error that names the first setting that a host
// configured by a feed requires and s does not have, or nil.
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

// duplicate reports v if it occurs in previous.
func (c *checker) duplicate(key string, previous []string, v string) {
	for _, p := range previous {
		if p == v {
			c.report(key, "%q is listed twice", v)
			return
		}
	}
}

// tls checks that the required files of t are named. Without any files, callers
// connect without TLS; for peers that is an error.
func (c *checker) tls(key string, t TLS, peers bool) {
	if t == (TLS{}) && !peers {
		return
	}
	if t == (TLS{}) {
		c.report(key, "is missing; name the certificate files, or set plaintext = true for testing")
		return
	}
	if t.Certificate == "" {
		c.report(key+".certificate", "is missing")
	}
	if t.Key == "" {
		c.report(key+".key", "is missing")
	}
	if peers && t.Authorities == "" {
		c.report(key+".authorities", "is missing")
	}
}

func (c *checker) intRange(key string, v, minimum, maximum int) {
	if v < minimum || v > maximum {
		c.report(key, "is %d, must be from %d to %d", v, minimum, maximum)
	}
}

func (c *checker) durationRange(key string, v manifest.Duration, minimum, maximum time.Duration) {
	if d := time.Duration(v); d < minimum || d > maximum {
		c.report(key, "is %v, must be from %v to %v", d, minimum, maximum)
	}
}

// urlProblem returns why text is not a base URL of the configuration service, or
// an empty string.
func urlProblem(text string) string {
	u, err := url.Parse(text)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.User != nil || u.RawQuery != "" || u.Fragment != "" {
		return fmt.Sprintf("%q is not a URL of the form http://IP:port", text)
	}
	if text := manifest.CheckAddress(u.Host); text != "" {
		return text
	}
	return ""
}
