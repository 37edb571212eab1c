package cli

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/anvilfront/anvilfront/internal/operator/status"
)

func printLine(w io.Writer, line string) error {
	_, err := fmt.Fprintln(w, line)
	return err
}

// writeSection prints a title and a table with rows of tab-separated cells.
func writeSection(b *strings.Builder, title string, header string, rows []string) {
	fmt.Fprintf(b, "\n%s\n", title)
	if len(rows) == 0 {
		b.WriteString("  none\n")
		return
	}
	t := tabwriter.NewWriter(b, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "  "+header)
	for _, r := range rows {
		_, _ = fmt.Fprintln(t, "  "+r)
	}
	_ = t.Flush() // a strings.Builder does not fail
}

func formatRows[T any](list []T, format func(*T) string) []string {
	out := make([]string, len(list))
	for i := range list {
		out[i] = format(&list[i])
	}
	return out
}

func printStatus(w io.Writer, s *status.Status) error {
	var b strings.Builder
	ready := "ready"
	if !s.Ready {
		ready = "not ready: " + s.NotReadyReason
	}
	fmt.Fprintf(&b, "Entry host %s in %s, incarnation %s, version %s\n", s.Name, s.DataCentre, s.Incarnation, s.Version)
	fmt.Fprintf(&b, "Up %v, %s\n", time.Duration(s.UptimeSeconds*float64(time.Second)).Round(time.Second), ready)
	fmt.Fprintf(&b, "Manifest revision %d, digest %s\n", s.Revision, s.Digest)
	fmt.Fprintf(&b, "Process: %.1f MB resident, %d goroutines, %.1f s CPU\n", float64(s.Process.ResidentBytes)/(1<<20), s.Process.Goroutines, s.Process.CPUSeconds)
	writeSection(&b, "Data centres", "name\tregion\tstate", formatRows(s.DataCentres, func(d *status.DataCentre) string {
		return d.Name + "\t" + d.Region + "\t" + inOrOut(d.Out)
	}))
	writeSection(&b, "Members", "name\taddress\tdata centre\tincarnation\tstate", formatRows(s.Members, func(m *status.Member) string {
		return strings.Join([]string{m.Name, m.Address, m.DataCentre, m.Incarnation, m.State}, "\t")
	}))
	writeSection(&b, "Services", "service\tdata centre\tstate\tservers\tknown\trunning\twaiting\tslots\tage", formatRows(s.Services, serviceRow))
	writeSection(&b, "Responses by verdict", "verdict\tcount", counterRows(s.Verdicts))
	writeSection(&b, "Refusals by reason", "reason\tcount", counterRows(s.Refusals))
	writeSection(&b, "Retries by reason", "reason\tcount", counterRows(s.Retries))
	fmt.Fprintf(&b, "\nPoison requests: %d fingerprints refused\n", s.PoisonRequests)
	writeSection(&b, "Firing alerts", alertHeader, formatRows(s.Alerts, alertRow))
	_, err := io.WriteString(w, b.String())
	return err
}

func inOrOut(out bool) string {
	if out {
		return "out"
	}
	return "in"
}

func serviceRow(s *status.Service) string {
	prefix := fmt.Sprintf("%s\t%s\t%s\t%d\t%d", s.Service, s.DataCentre, inOrOut(s.Out), s.Servers, s.Known)
	if s.Known == 0 {
		return prefix + "\t-\t-\t-\t-"
	}
	return fmt.Sprintf("%s\t%d\t%d\t%d\t%d ms", prefix, s.Running, s.Waiting, s.Slots, s.AgeMillis)
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func counterRows(m map[string]int64) []string {
	var list []string
	for name, n := range m {
		list = append(list, fmt.Sprintf("%s\t%d", name, n))
	}
	sort.Strings(list)
	return list
}

const alertHeader = "alert\tstate\tvalue\trule\theld\tsource"

func alertRow(a *status.Alert) string {
	metric := a.Metric
	if a.Rate {
		metric += " per second"
	}
	held := time.Duration(a.ForSeconds * float64(time.Second)).Round(time.Second)
	return fmt.Sprintf("%s\t%s\t%g\t%s %s %g\t%v\t%s", a.Name, a.State, a.Value, metric, a.Comparison, a.Threshold, held, orDash(a.Source))
}

func printAlerts(w io.Writer, list []status.Alert) error {
	var b strings.Builder
	writeSection(&b, "Alerts", alertHeader, formatRows(list, alertRow))
	_, err := io.WriteString(w, strings.TrimPrefix(b.String(), "\n"))
	return err
}

func printExplanation(w io.Writer, e *status.Explanation) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s%s with manifest revision %d\n", e.Method, e.Host, e.Path, e.Revision)
	if e.Route == "" {
		b.WriteString("No route matches; the request is refused with reason no_route.\n")
		_, err := io.WriteString(w, b.String())
		return err
	}
	kind := "not idempotent: runs at most once"
	switch {
	case e.Idempotent:
		kind = "idempotent: may be retried"
	case e.KeyRequired:
		kind += ", an order key is required"
	}
	fmt.Fprintf(&b, "Route %s (source %s) forwards to service %s\n", e.Route, orDash(e.Source), e.Service)
	fmt.Fprintf(&b, "%s; priority %d, deadline %s\n", kind, e.Priority, e.Deadline)
	fmt.Fprintf(&b, "%d of %d backend servers are eligible\n", e.Eligible, len(e.Servers))
	writeSection(&b, "Backend servers", "name\taddress\tdata centre\tin flight\trunning\tslots\tage\tresult", formatRows(e.Servers, serverRow))
	_, err := io.WriteString(w, b.String())
	return err
}

func serverRow(s *status.Server) string {
	result := "eligible"
	if !s.Eligible {
		result = "not eligible: " + s.Reason
	}
	if s.Cold {
		result += " (cold)"
	}
	load := "-\t-\t-"
	if s.Known {
		load = fmt.Sprintf("%d\t%d\t%d ms", s.Running, s.Slots, s.AgeMillis)
	}
	return fmt.Sprintf("%s\t%s\t%s\t%d\t%s\t%s", s.Name, s.Address, s.DataCentre, s.Inflight, load, result)
}
