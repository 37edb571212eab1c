package cli

import (
	"fmt"
	"os"
	"time"

	"github.com/go-faster/errors"

	"github.com/anvilfront/anvilfront/internal/account"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/settings"
	"github.com/anvilfront/anvilfront/internal/tomlfile"
)

type checkCommand struct {
	app          *app
	Settings     string `long:"settings" short:"s" value-name:"FILE" description:"settings file to check"`
	Manifest     string `long:"manifest" short:"m" value-name:"FILE" description:"manifest to check"`
	Account      string `long:"account" value-name:"OLD-FILE" description:"old configuration to account for line by line; needs --manifest"`
	Certificates bool   `long:"certificates" description:"also load the certificate files that the settings name; for use on the entry host"`
	JSON         bool   `long:"json" description:"print JSON"`
}

// checkResult is the JSON output of the check command.
type checkResult struct {
	Files   []fileResult    `json:"files"`
	Account *account.Report `json:"account,omitempty"`
}

type fileResult struct {
	File     string             `json:"file"`
	Errors   []tomlfile.Problem `json:"mistakes"`
	Warnings []tomlfile.Problem `json:"warnings"`
	Omitted  int                `json:"more"` // number of errors that are not listed
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	if c.Settings == "" && c.Manifest == "" {
		return &exitError{ExitUsage, errors.New("nothing to check"), "specify --settings FILE, --manifest FILE or both"}
	}
	if c.Account != "" && c.Manifest == "" {
		return &exitError{ExitUsage, errors.New("--account requires a manifest"), "specify --manifest FILE as well"}
	}
	if c.Certificates && c.Settings == "" {
		return &exitError{ExitUsage, errors.New("--certificates requires settings"), "specify --settings FILE as well"}
	}
	res, err := c.run()
	if err != nil {
		return &exitError{ExitError, err, "check that the file exists and is readable"}
	}
	if err := c.print(res); err != nil {
		return err
	}
	for _, f := range res.Files {
		if len(f.Errors) > 0 {
			return &exitError{ExitInvalid, errors.Errorf("%s has errors", f.File), "correct them and check again; a manifest with errors is refused as a whole"}
		}
	}
	if res.Account != nil && !res.Account.OK() {
		return &exitError{ExitUnaccounted, errors.Errorf("%s: %d lines are not accounted for, %d sources are invalid", c.Account, res.Account.Unaccounted, len(res.Account.InvalidSources)),
			"add a rule with the line as its source, or a dropped entry with a reason"}
	}
	return nil
}

func (c *checkCommand) run() (*checkResult, error) {
	res := &checkResult{Files: []fileResult{}}
	if c.Settings != "" {
		raw, err := os.ReadFile(c.Settings)
		if err != nil {
			return nil, errors.Wrap(err, "read settings")
		}
		s, err := settings.Parse(raw)
		if err == nil && c.Certificates {
			err = s.CheckCertificates(time.Now())
		}
		res.Files = append(res.Files, newFileResult(c.Settings, nil, err))
	}
	if c.Manifest == "" {
		return res, nil
	}
	raw, err := os.ReadFile(c.Manifest)
	if err != nil {
		return nil, errors.Wrap(err, "read manifest")
	}
	m, err := manifest.Parse(raw)
	var warnings []tomlfile.Problem
	if m != nil {
		warnings = m.Warnings
	}
	res.Files = append(res.Files, newFileResult(c.Manifest, warnings, err))
	if c.Account == "" || m == nil {
		return res, nil
	}
	old, err := os.ReadFile(c.Account)
	if err != nil {
		return nil, errors.Wrap(err, "read old configuration")
	}
	res.Account = account.Compare(m, c.Account, old)
	return res, nil
}

func newFileResult(file string, warnings []tomlfile.Problem, err error) fileResult {
	r := fileResult{File: file, Errors: []tomlfile.Problem{}, Warnings: append([]tomlfile.Problem{}, warnings...)}
	if err == nil {
		return r
	}
	if e, ok := errors.Into[*tomlfile.Error](err); ok {
		r.Errors, r.Omitted = e.Problems, e.Omitted
	} else {
		r.Errors = append(r.Errors, tomlfile.Problem{Text: err.Error()})
	}
	return r
}

// print writes errors to stderr, and warnings and results to stdout.
func (c *checkCommand) print(res *checkResult) error {
	if c.JSON {
		return c.app.json(res)
	}
	for _, f := range res.Files {
		for _, p := range f.Errors {
			_, _ = fmt.Fprintln(c.app.stderr, p.WithFile(f.File))
		}
		if f.Omitted > 0 {
			_, _ = fmt.Fprintf(c.app.stderr, "%s: and %d more errors\n", f.File, f.Omitted)
		}
		for _, p := range f.Warnings {
			_, _ = fmt.Fprintln(c.app.stdout, "warning: "+p.WithFile(f.File))
		}
		if len(f.Errors) == 0 {
			_, _ = fmt.Fprintf(c.app.stdout, "%s: no errors\n", f.File)
		}
	}
	if res.Account != nil {
		return res.Account.Write(c.app.stdout)
	}
	return nil
}
