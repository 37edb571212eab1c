package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// host is one entry host: a process of the project, started as the deploy file says.
type host struct {
	name, zone, ip string
	settings       string
	log            *os.File
	cmd            *exec.Cmd
	exited         chan struct{}
}

// Ports are the same on all machines.
type ports struct{ front, ready, control, mesh, operator int }

func (f *fleet) newHost(name, zone, ip string) (*host, error) {
	h := &host{name: name, zone: zone, ip: ip, settings: filepath.Join(f.dir, name+".toml")}
	seeds := []string{}
	for _, s := range f.seeds {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", s, f.ports.control)))
	}
	// What deploy/settings.toml yields for a machine of a small site.
	text := fmt.Sprintf(`name = %q
data_centre = %q
listen = "%s:%d"
ready = "%s:%d"
peer = "%s:%d"
mesh = "%s:%d"
operator = "%s:%d"
platform = ["http://%s"]
peers = [%s]
log_level = "info"
plaintext = true
notice = "2300ms"
stop_bound = "6s"
retry_ratio = 0.2
retry_slack = 60
memory_megabytes = 284
`, name, zone, ip, f.ports.front, ip, f.ports.ready, ip, f.ports.control, ip, f.ports.mesh, ip, f.ports.operator,
		f.store.listener.Addr(), strings.Join(seeds, ","))
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(f.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	h.log = log
	f.hosts = append(f.hosts, h)
	return h, h.start()
}

// start starts the process with the command of deploy/system.toml.
func (h *host) start() error {
	h.cmd = exec.Command("target/anvilfront", "entry")
	h.cmd.Env = []string{"ANVILFRONT_SETTINGS=" + h.settings, "GOGC=50", "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	h.cmd.Stdout, h.cmd.Stderr = h.log, h.log
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.cmd.Start(); err != nil {
		return err
	}
	exited, cmd := make(chan struct{}), h.cmd
	h.exited = exited
	go func() { _ = cmd.Wait(); close(exited) }()
	return nil
}

func (h *host) signal(s syscall.Signal) { _ = h.cmd.Process.Signal(s) }

// end kills the process and waits for its end.
func (h *host) end() {
	if h.cmd == nil || h.cmd.Process == nil {
		return
	}
	h.signal(syscall.SIGCONT)
	h.signal(syscall.SIGKILL)
	<-h.exited
}

// ready asks like the platform whether clients may be sent to the host.
func (f *fleet) ready(h *host) bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get(fmt.Sprintf("http://%s:%d/readiness", h.ip, f.ports.ready))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (f *fleet) awaitReady(within time.Duration) error {
	end := time.Now().Add(within)
	for _, h := range f.hosts {
		for !f.ready(h) {
			if time.Now().After(end) {
				return fmt.Errorf("host %s is not ready", h.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}
