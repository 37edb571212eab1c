package cli

import (
	"encoding/json"
	"net"
	"net/url"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/operator"
	"github.com/anvilfront/anvilfront/internal/operator/status"
	"github.com/anvilfront/anvilfront/internal/responsehead"
)

// responseTimeout bounds a request to an entry host.
const responseTimeout = 5 * time.Second

// operatorOptions are shared by the commands that query an entry host.
type operatorOptions struct {
	Operator string `long:"operator" short:"o" required:"true" value-name:"IP:PORT" description:"operator listener of the entry host"`
	JSON     bool   `long:"json" description:"print JSON"`
}

// get requests path from the operator listener and decodes the response into v.
func (o *operatorOptions) get(path string, query url.Values, v any) error {
	if text := manifest.CheckAddress(o.Operator); text != "" {
		return &exitError{ExitUsage, errors.Errorf("--operator %s", text), "use the operator address from the settings of the entry host, such as 127.0.0.1:9000"}
	}
	dial := func(address string) (net.Conn, error) { return responsehead.NewConn(fasthttp.Dial(address)) }
	client := &fasthttp.HostClient{Addr: o.Operator, Dial: dial, MaxIdemponentCallAttempts: 1, MaxResponseBodySize: 64 << 20}
	defer client.CloseIdleConnections()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	u := url.URL{Scheme: "http", Host: o.Operator, Path: path, RawQuery: query.Encode()}
	req.SetRequestURI(u.String())
	if err := client.DoTimeout(req, resp, responseTimeout); err != nil {
		return &exitError{ExitUnreachable, errors.Wrapf(err, "entry host at %s", o.Operator),
			"check that the entry host is running and that --operator is the address of its operator listener"}
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		var f operator.ErrorResponse
		if err := json.Unmarshal(resp.Body(), &f); err != nil || f.Error == "" {
			f.Error = "no error message"
		}
		return errors.Errorf("entry host at %s responded with status %d: %s", o.Operator, resp.StatusCode(), f.Error)
	}
	if err := json.Unmarshal(resp.Body(), v); err != nil {
		return &exitError{ExitError, errors.Wrapf(err, "decode response from %s", o.Operator), "use the same version of anvilfront as the entry host"}
	}
	return nil
}

type statusCommand struct {
	app *app
	operatorOptions
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	var s status.Status
	if err := c.get("/status", nil, &s); err != nil {
		return err
	}
	if c.JSON {
		return c.app.json(&s)
	}
	return printStatus(c.app.stdout, &s)
}

type explainCommand struct {
	app *app
	operatorOptions
	Method string `long:"method" value-name:"METHOD" default:"GET" description:"method of the request"`
	Host   string `long:"host" value-name:"HOST" description:"Host header of the request"`
	Path   string `long:"path" value-name:"PATH" required:"true" description:"path of the request, from '/'"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	var e status.Explanation
	query := url.Values{"method": {c.Method}, "host": {c.Host}, "path": {c.Path}}
	if err := c.get("/explain", query, &e); err != nil {
		return err
	}
	var err error
	if c.JSON {
		err = c.app.json(&e)
	} else {
		err = printExplanation(c.app.stdout, &e)
	}
	if err == nil && e.Eligible == 0 {
		return &exitError{code: ExitNoServer}
	}
	return err
}

type alertsCommand struct {
	app *app
	operatorOptions
}

// Execute implements flags.Commander.
func (c *alertsCommand) Execute([]string) error {
	list := []status.Alert{}
	if err := c.get("/alerts", nil, &list); err != nil {
		return err
	}
	var err error
	if c.JSON {
		err = c.app.json(list)
	} else {
		err = printAlerts(c.app.stdout, list)
	}
	if err != nil {
		return err
	}
	for _, a := range list {
		if a.State == status.AlertFiring {
			return &exitError{code: ExitFiring}
		}
	}
	return nil
}

type versionCommand struct {
	app  *app
	JSON bool `long:"json" description:"print JSON"`
}

// Execute implements flags.Commander.
func (c *versionCommand) Execute([]string) error {
	if c.JSON {
		return c.app.json(map[string]string{"version": Version(), "go": runtime.Version()})
	}
	return printLine(c.app.stdout, "anvilfront "+Version()+" ("+runtime.Version()+")")
}

// Version returns the version control revision of the build, with the suffix
// "-modified" if the work tree had changes, or "unknown".
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	revision, modified := "unknown", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			revision = s.Value
		case s.Key == "vcs.modified" && s.Value == "true":
			modified = "-modified"
		}
	}
	return revision + modified
}
