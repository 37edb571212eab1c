package manifest

import (
	"slices"
	"strings"
)

// Match returns the first route that matches, or nil.
func (m *Manifest) Match(method, host, path string) *Route {
	for i := range m.File.Routes {
		if r := &m.File.Routes[i]; r.Matches(method, host, path) {
			return r
		}
	}
	return nil
}

// Matches reports whether the route matches a request.
func (r *Route) Matches(method, host, path string) bool {
	if r.Host != "" && !strings.EqualFold(r.Host, host) {
		return false
	}
	if r.Path != "" && r.Path != path {
		return false
	}
	if r.PathPrefix != "" && !hasSegmentPrefix(path, r.PathPrefix) {
		return false
	}
	return len(r.Methods) == 0 || slices.Contains(r.Methods, method)
}

func hasSegmentPrefix(path, prefix string) bool {
	if len(path) < len(prefix) || path[:len(prefix)] != prefix {
		return false
	}
	return len(path) == len(prefix) || prefix[len(prefix)-1] == '/' || path[len(prefix)] == '/'
}

// coversPath reports whether every request that meets the host and path
// conditions of later also meets those of r.
func (r *Route) coversPath(later *Route) bool {
	if r.Host != "" && r.Host != later.Host {
		return false
	}
	switch {
	case r.Path != "":
		return r.Path == later.Path
	case r.PathPrefix == "" || r.PathPrefix == "/": // every path starts with '/'
		return true
	case later.Path != "":
		return hasSegmentPrefix(later.Path, r.PathPrefix)
	default:
		return hasSegmentPrefix(later.PathPrefix, r.PathPrefix)
	}
}

// coveredBy returns the names of earlier routes that together match every
// request that r matches, or nil.
func (r *Route) coveredBy(earlier []Route) []string {
	var names []string
	uncovered := slices.Clone(r.Methods)
	for i := range earlier {
		e := &earlier[i]
		if !e.coversPath(r) {
			continue
		}
		if len(e.Methods) == 0 {
			return []string{e.Name}
		}
		before := len(uncovered)
		uncovered = slices.DeleteFunc(uncovered, func(m string) bool { return slices.Contains(e.Methods, m) })
		if len(uncovered) == before {
			continue
		}
		names = append(names, e.Name)
		if len(uncovered) == 0 {
			return names
		}
	}
	return nil
}
