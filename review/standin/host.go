package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// host runs one entry host with the command, environment and template of the deploy
// file, and restarts it after a short delay when it ends, as the platform does.
type host struct {
	name, ip, zone, settings, front, ready string
	memoryMB                               int
	record                                 *record
	log                                    *os.File

	mu      sync.Mutex
	process *os.Process
	ended   bool // by stop
	kills   int  // because of the memory limit
	starts  int
	peakKB  int
}

func freePort(network, ip string) (int, error) {
	if network == "udp" {
		c, err := net.ListenPacket("udp", ip+":0")
		if err != nil {
			return 0, err
		}
		defer func() { _ = c.Close() }()
		return c.LocalAddr().(*net.UDPAddr).Port, nil
	}
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port, nil
}

var placeholder = regexp.MustCompile(`\{\{([^}|]+)(\|json)?\}\}`)

// render fills in the placeholders of the template that deploy/settings.toml uses.
func render(template string, fields map[string]any) string {
	return placeholder.ReplaceAllStringFunc(template, func(m string) string {
		parts := placeholder.FindStringSubmatch(m)
		var v any = fields
		for _, name := range strings.Split(parts[1], ".") {
			switch t := v.(type) {
			case map[string]any:
				v = t[name]
			case []any:
				i, _ := strconv.Atoi(name)
				v = t[i]
			}
		}
		if parts[2] != "" {
			raw, _ := json.Marshal(v)
			return string(raw)
		}
		return fmt.Sprint(v)
	})
}

// inTouchAfter is how long after its start a machine is in touch: contact_ms, and the time
// that the start takes.
const inTouchAfter = 4 * time.Second

var zones = []string{"npc-a", "npc-b", "npc-c", "npc-d"}

// startHosts starts entry hosts in the first zones and waits until they are in touch. With
// limited, the platform ends a process that exceeds the memory of its machine.
func (d *deployment) startHosts(inZones, perZone, memoryMB int, limited bool) error {
	var ips, seeds []string
	for i := range inZones * perZone {
		ips = append(ips, fmt.Sprintf("%s.1%02d", d.net, i+1))
		if i < 3 {
			seeds = append(seeds, fmt.Sprintf("%s:%d", ips[i], d.control))
		}
	}
	for i, ip := range ips {
		h, err := d.newHost(ip, zones[i%inZones], seeds, memoryMB)
		if err != nil {
			return err
		}
		go h.run()
		if limited {
			go h.limitMemory()
		}
	}
	for _, h := range d.hosts {
		if !h.waitReady(10 * time.Second) {
			return fmt.Errorf("%s isn't ready", h.name)
		}
	}
	time.Sleep(inTouchAfter)
	return nil
}

// startEndpoints starts endpoints of a service, in the first zones by turns.
func (d *deployment) startEndpoints(service string, n, inZones int, work time.Duration) error {
	for i := range n {
		e, err := newEndpoint(d.net+".2", fmt.Sprintf("%s-%02d", service, i), service, zones[i%inZones], 6, work, d.record)
		if err != nil {
			return err
		}
		d.store.register(e, "ready")
		d.endpoints = append(d.endpoints, e)
	}
	return nil
}

type deployment struct {
	dir           string // temporary
	net           string // the first three numbers of all addresses, of the loopback network
	store         *store
	record        *record
	hosts         []*host
	endpoints     []*endpoint
	control, mesh int
}

// newHost writes the settings of a host. All hosts use the same ports, each on an
// address of its own.
func (d *deployment) newHost(ip, zone string, seeds []string, memoryMB int) (*host, error) {
	front, err := freePort("tcp", ip)
	if err != nil {
		return nil, err
	}
	ready, err := freePort("tcp", ip)
	if err != nil {
		return nil, err
	}
	h := &host{
		name: "front-" + zone + "-" + ip, ip: ip, zone: zone, memoryMB: memoryMB, record: d.record,
		front: fmt.Sprintf("%s:%d", ip, front), ready: fmt.Sprintf("%s:%d", ip, ready), settings: filepath.Join(d.dir, ip+".toml"),
	}
	storeAddress, err := d.store.listen(h.name)
	if err != nil {
		return nil, err
	}
	template, err := os.ReadFile("deploy/settings.toml")
	if err != nil {
		return nil, err
	}
	fields := map[string]any{
		"node_name": h.name, "zone": zone, "ip": ip,
		"listen":              map[string]any{"front": h.front, "ready": h.ready, "control": fmt.Sprintf("%s:%d", ip, d.control)},
		"internal_port_range": []any{d.mesh, d.mesh + 15},
		"seeds":               seeds, "platform": map[string]any{"address": storeAddress},
		"bounds": map[string]any{"grace_s": 6, "budget_ratio": 0.2, "budget_slack": 60},
		"limits": map[string]any{"memory_mb": memoryMB},
	}
	if err := os.WriteFile(h.settings, []byte(render(string(template), fields)), 0o600); err != nil {
		return nil, err
	}
	if h.log, err = os.Create(filepath.Join(d.dir, ip+".log")); err != nil {
		return nil, err
	}
	d.hosts = append(d.hosts, h)
	return h, nil
}

// run keeps the host running until stop.
func (h *host) run() {
	for {
		h.mu.Lock()
		if h.ended {
			h.mu.Unlock()
			return
		}
		cmd := exec.Command("target/anvilfront", "entry")
		cmd.Env = append(os.Environ(), "ANVILFRONT_SETTINGS="+h.settings, "GOGC=50")
		cmd.Stdout, cmd.Stderr = h.log, h.log
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		err := cmd.Start()
		if err == nil {
			h.process = cmd.Process
			h.starts++
		}
		h.mu.Unlock()
		if err != nil {
			h.record.printf("host      %s doesn't start: %v", h.name, err)
			return
		}
		h.record.printf("host      %s starts, process %d", h.name, cmd.Process.Pid)
		err = cmd.Wait()
		h.record.printf("host      %s has ended: %v", h.name, err)
		h.mu.Lock()
		h.process = nil
		h.mu.Unlock()
		time.Sleep(500 * time.Millisecond)
	}
}

func (h *host) signal(s os.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil {
		_ = h.process.Signal(s)
	}
}

func (h *host) stop() {
	h.mu.Lock()
	h.ended = true
	h.mu.Unlock()
	h.signal(os.Kill)
}

// anonymousKB returns the anonymous resident memory of a process, without its program
// text, in KiB.
func anonymousKB(pid int) int {
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	defer func() { _ = f.Close() }()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		if rest, ok := strings.CutPrefix(lines.Text(), "RssAnon:"); ok {
			n, _ := strconv.Atoi(strings.Fields(rest)[0])
			return n
		}
	}
	return 0
}

// limitMemory kills the process when it exceeds the memory of its machine, as
// DEPLOY.md says: "A process that exceeds memory_mb is killed."
func (h *host) limitMemory() {
	for {
		time.Sleep(5 * time.Millisecond)
		h.mu.Lock()
		if h.ended {
			h.mu.Unlock()
			return
		}
		if h.process != nil {
			kb := anonymousKB(h.process.Pid)
			h.peakKB = max(h.peakKB, kb)
			if kb > h.memoryMB<<10 {
				h.kills++
				h.record.printf("platform  %s uses %d MB of %d MB and is killed", h.name, kb>>10, h.memoryMB)
				_ = h.process.Kill()
				h.process = nil
			}
		}
		h.mu.Unlock()
	}
}

func (h *host) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + h.ready + "/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (h *host) waitReady(timeout time.Duration) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if h.isReady() {
			return true
		}
	}
	return false
}
