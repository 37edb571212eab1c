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

// Maximum lengths of text fields in bytes.
const (
	maxHost   = 255
	maxPath   = 1024
	maxReason = 500
	maxMethod = 32
)

func (c *checker) checkRoutes() {
	names, used := map[string]string{}, map[string]bool{}
	for i := range c.file.Routes {
		r, path := &c.file.Routes[i], elementPath("routes", i)
		errsBefore := c.errs.Len()
		c.name(path, r.Name, names)
		c.source(path, r.Source, false)
		c.reference(path+".service", "service", r.Service, c.services)
		used[r.Service] = true
		c.routeMatch(path, r)
		c.intRange(path+".priority", r.Priority, 0, MaxPriority)
		c.durationRange(path+".deadline", r.Deadline, time.Millisecond, 5*time.Minute)
		c.intRange(path+".retries", r.Retries, 0, 10)
		c.floatRange(path+".retry_percent", r.RetryPercent, 0, 100)
		if r.Idempotent && r.KeyRequired {
			c.invalid(path+".key_required", "is allowed only for routes that are not idempotent")
		}
		if c.errs.Len() > errsBefore {
			continue
		}
		if covering := r.coveredBy(c.file.Routes[:i]); covering != nil {
			c.invalid(path, "route %q never matches, because all of its requests match earlier routes: %s", r.Name, strings.Join(covering, ", "))
		}
	}
	for i := range c.file.Services {
		if s := &c.file.Services[i]; !used[s.Name] {
			c.warn(elementPath("services", i), "no route uses service %q", s.Name)
		}
	}
}

func (c *checker) routeMatch(path string, r *Route) {
	if problem := checkHost(r.Host); problem != "" {
		c.invalid(path+".host", "%s", problem)
	}
	if r.Path != "" && r.PathPrefix != "" {
		c.invalid(path+".path_prefix", "cannot be set together with path")
	}
	if problem := checkPath(r.Path); problem != "" {
		c.invalid(path+".path", "%s", problem)
	}
	if problem := checkPath(r.PathPrefix); problem != "" {
		c.invalid(path+".path_prefix", "%s", problem)
	}
	seen := map[string]bool{}
	for _, m := range r.Methods {
		switch {
		case !isMethod(m):
			c.invalid(path+".methods", "%q is not an upper-case HTTP method", truncate(m))
		case seen[m]:
			c.invalid(path+".methods", "%q is listed twice", m)
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
			return fmt.Sprintf("%q is not a lower-case host; patterns are not supported", truncate(host))
		}
	}
	return ""
}

// checkPath refuses paths that cannot equal a request path, because request
// paths are decoded and normalised first.
func checkPath(p string) string {
	switch {
	case p == "":
		return ""
	case len(p) > maxPath:
		return fmt.Sprintf("has %d bytes, the limit is %d", len(p), maxPath)
	case p[0] != '/':
		return fmt.Sprintf("%q must start with '/'", truncate(p))
	case strings.ContainsAny(p, "?#*"):
		return fmt.Sprintf("%q must not contain '?', '#' or '*'; patterns are not supported", truncate(p))
	case strings.ContainsFunc(p, func(r rune) bool { return r < ' ' || r == 0x7f }):
		return "must not contain control characters"
	}
	clean := path.Clean(p)
	if strings.HasSuffix(p, "/") && clean != "/" {
		clean += "/"
	}
	if clean != p {
		return fmt.Sprintf("%q is not normalised, use %q", truncate(p), truncate(clean))
	}
	return ""
}

// Source splits a source reference of the form FILE:LINE. ok is false if it has
// another form.
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
		c.invalid(path+".source", "%q is not of the form FILE:LINE with a line number from 1", truncate(source))
	}
}

func (c *checker) checkAlerts() {
	names := map[string]string{}
	for i := range c.file.Alerts {
		a, path := &c.file.Alerts[i], elementPath("alerts", i)
		c.name(path, a.Name, names)
		c.source(path, a.Source, false)
		if problem := checkMetric(a.Metric); problem != "" {
			c.invalid(path+".metric", "%s", problem)
		}
		if !IsComparison(a.Comparison) {
			c.invalid(path+".comparison", "%q is not one of > >= < <=", truncate(a.Comparison))
		}
		c.floatRange(path+".threshold", a.Threshold, -math.MaxFloat64, math.MaxFloat64)
		c.durationRange(path+".for", a.For, 0, 24*time.Hour)
	}
}

// IsComparison reports whether s is a comparison operator of alert rules.
func IsComparison(s string) bool { return s == ">" || s == ">=" || s == "<" || s == "<=" }

// checkMetric checks the names of reasons and verdicts against their tables.
// Other counters are known only to a running entry host: only the form of their
// names is checked, and the alerts command shows that a rule has no data.
func checkMetric(metric string) string {
	if metric == "" {
		return "is missing"
	}
	if len(metric) > 128 || strings.Trim(metric, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_-.") != "" {
		return fmt.Sprintf("%q is not a dotted counter name", truncate(metric))
	}
	group, name, _ := strings.Cut(metric, ".")
	switch group {
	case "refusals", "retries":
		if _, ok := verdict.ParseReason(name); !ok {
			return fmt.Sprintf("%q: unknown reason %q", truncate(metric), truncate(name))
		}
	case "verdicts":
		if verdict.Parse(name).String() != name {
			return fmt.Sprintf("%q: unknown verdict %q", truncate(metric), truncate(name))
		}
	}
	return ""
}

func (c *checker) checkDropped() {
	migrated, seen := map[string]string{}, map[string]string{}
	for i := range c.file.Routes {
		migrated[c.file.Routes[i].Source] = elementPath("routes", i)
	}
	for i := range c.file.Alerts {
		migrated[c.file.Alerts[i].Source] = elementPath("alerts", i)
	}
	for i := range c.file.Dropped {
		d, path := &c.file.Dropped[i], elementPath("dropped", i)
		c.source(path, d.Source, true)
		if migratedTo := migrated[d.Source]; migratedTo != "" && d.Source != "" {
			c.invalid(path+".source", "%q is also the source of %s in line %d", truncate(d.Source), migratedTo, c.index.Line(migratedTo))
		}
		c.unique(path, path+".source", d.Source, seen)
		switch {
		case strings.TrimSpace(d.Reason) == "":
			c.invalid(path+".reason", "is missing")
		case len(d.Reason) > maxReason || !utf8.ValidString(d.Reason):
			c.invalid(path+".reason", "has %d bytes, the limit is %d", len(d.Reason), maxReason)
		}
	}
}
