package manifest

import (
	"fmt"
	"math"
	"path"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/anvilfront/anvilfront/internal/verdict"
)

// Bounds of text fields in bytes.
const (
	maxHost   = 255
	maxPath   = 1024
	maxReason = 500
	maxMethod = 32
)

func (c *checker) checkRoutes() {
	names, used := map[string]string{}, map[string]bool{}
	for i := range c.file.Routes {
		r, path := &c.file.Routes[i], at("routes", i)
		before := c.mistakes.Len()
		c.name(path, r.Name, names)
		c.source(path, r.Source, false)
		c.reference(path+".service", "service", r.Service, c.services)
		used[r.Service] = true
		c.routeMatch(path, r)
		c.ints(path+".priority", r.Priority, 0, MaxPriority)
		c.durations(path+".deadline", r.Deadline, time.Millisecond, 5*time.Minute)
		c.ints(path+".retries", r.Retries, 0, 10)
		c.floats(path+".retry_percent", r.RetryPercent, 0, 100)
		if r.Idempotent && r.KeyRequired {
			c.bad(path+".key_required", "is only for routes that are not idempotent")
		}
		if c.mistakes.Len() > before {
			continue
		}
		if by := r.coveredBy(c.file.Routes[:i]); by != nil {
			c.bad(path, "route %q never matches, because %s before it takes all its requests", r.Name, strings.Join(by, ", "))
		}
	}
	for i := range c.file.Services {
		if s := &c.file.Services[i]; !used[s.Name] {
			c.warn(at("services", i), "no route leads to service %q", s.Name)
		}
	}
}

func (c *checker) routeMatch(path string, r *Route) {
	if text := checkHost(r.Host); text != "" {
		c.bad(path+".host", "%s", text)
	}
	if r.Path != "" && r.PathPrefix != "" {
		c.bad(path+".path_prefix", "cannot be set together with path")
	}
	if text := checkPath(r.Path); text != "" {
		c.bad(path+".path", "%s", text)
	}
	if text := checkPath(r.PathPrefix); text != "" {
		c.bad(path+".path_prefix", "%s", text)
	}
	seen := map[string]bool{}
	for _, m := range r.Methods {
		switch {
		case !isMethod(m):
			c.bad(path+".methods", "%q is not a method in upper case", clip(m))
		case seen[m]:
			c.bad(path+".methods", "%q is listed twice", m)
		}
		seen[m] = true
	}
}

func isMethod(m string) bool {
	return m != "" && len(m) <= maxMethod && strings.Trim(m, "ABCDEFGHIJKLMNOPQRSTUVWXYZ-") == ""
}

func checkHost(host string) string {
	if len(host) > maxHost {
		return fmt.Sprintf("has %d bytes, the limit is %d", len(host), maxHost)
	}
	for i := 0; i < len(host); i++ {
		b := host[i]
		if (b < 'a' || b > 'z') && (b < '0' || b > '9') && !strings.ContainsRune("-._:[]", rune(b)) {
			return fmt.Sprintf("%q is not a host in lower case; patterns are not supported", clip(host))
		}
	}
	return ""
}

// checkPath refuses paths that no request has after its path was decoded and
// normalised.
func checkPath(p string) string {
	switch {
	case p == "":
		return ""
	case len(p) > maxPath:
		return fmt.Sprintf("has %d bytes, the limit is %d", len(p), maxPath)
	case p[0] != '/':
		return fmt.Sprintf("%q must start with '/'", clip(p))
	case strings.ContainsAny(p, "?#*"):
		return fmt.Sprintf("%q must not hold '?', '#' or '*'; patterns are not supported", clip(p))
	case strings.ContainsFunc(p, func(r rune) bool { return r < ' ' || r == 0x7f }):
		return "must not hold control characters"
	}
	clean := path.Clean(p)
	if strings.HasSuffix(p, "/") && clean != "/" {
		clean += "/"
	}
	if clean != p {
		return fmt.Sprintf("%q is not in normal form, write %q", clip(p), clip(clean))
	}
	return ""
}

// Source splits a source reference FILE:LINE. ok is false when it has another form.
func Source(source string) (file string, line int, ok bool) {
	cut := strings.LastIndexByte(source, ':')
	if cut < 1 {
		return "", 0, false
	}
	line, err := strconv.Atoi(source[cut+1:])
	if err != nil || line < 1 || strconv.Itoa(line) != source[cut+1:] {
		return "", 0, false
	}
	return source[:cut], line, true
}

func (c *checker) source(path, source string, required bool) {
	if source == "" && !required {
		return
	}
	if _, _, ok := Source(source); !ok {
		c.bad(path+".source", "%q is not FILE:LINE with a line from 1", clip(source))
	}
}

func (c *checker) checkAlerts() {
	names := map[string]string{}
	for i := range c.file.Alerts {
		a, path := &c.file.Alerts[i], at("alerts", i)
		c.name(path, a.Name, names)
		c.source(path, a.Source, false)
		if text := checkMetric(a.Metric); text != "" {
			c.bad(path+".metric", "%s", text)
		}
		if !IsComparison(a.Comparison) {
			c.bad(path+".comparison", "%q is not one of > >= < <=", clip(a.Comparison))
		}
		c.floats(path+".threshold", a.Threshold, -math.MaxFloat64, math.MaxFloat64)
		c.durations(path+".for", a.For, 0, 24*time.Hour)
	}
}

// IsComparison reports whether s is a comparison of an alert rule.
func IsComparison(s string) bool { return s == ">" || s == ">=" || s == "<" || s == "<=" }

// checkMetric checks the names of reasons and verdicts against their tables.
// Other counters exist only in a running entry host; for them the form is
// checked, and the alerts command shows a rule without data.
func checkMetric(metric string) string {
	if metric == "" {
		return "is missing"
	}
	if len(metric) > 128 || strings.Trim(metric, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_-.") != "" {
		return fmt.Sprintf("%q is not a dotted counter name", clip(metric))
	}
	group, name, _ := strings.Cut(metric, ".")
	switch group {
	case "refusals", "retries":
		if _, ok := verdict.ParseReason(name); !ok {
			return fmt.Sprintf("%q: there is no reason %q", clip(metric), clip(name))
		}
	case "verdicts":
		if verdict.Parse(name).String() != name {
			return fmt.Sprintf("%q: there is no verdict %q", clip(metric), clip(name))
		}
	}
	return ""
}

func (c *checker) checkDropped() {
	carried, seen := map[string]string{}, map[string]string{}
	for i := range c.file.Routes {
		carried[c.file.Routes[i].Source] = at("routes", i)
	}
	for i := range c.file.Alerts {
		carried[c.file.Alerts[i].Source] = at("alerts", i)
	}
	for i := range c.file.Dropped {
		d, path := &c.file.Dropped[i], at("dropped", i)
		c.source(path, d.Source, true)
		if by := carried[d.Source]; by != "" && d.Source != "" {
			c.bad(path+".source", "%q is also carried by %s in line %d", clip(d.Source), by, c.index.Line(by))
		}
		c.unique(path, path+".source", d.Source, seen)
		switch {
		case strings.TrimSpace(d.Reason) == "":
			c.bad(path+".reason", "is missing")
		case len(d.Reason) > maxReason || !utf8.ValidString(d.Reason):
			c.bad(path+".reason", "has %d bytes, the limit is %d", len(d.Reason), maxReason)
		}
	}
}
