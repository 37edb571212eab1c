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

// checkResult is the JSON form of a check.
type checkResult struct {
	Files   []fileResult    `json:"files"`
	Account *account.Report `json:"account,omitempty"`
}

type fileResult struct {
	File     string             `json:"file"`
	Mistakes []tomlfile.Problem `json:"mistakes"`
	Warnings []tomlfile.Problem `json:"warnings"`
	Omitted  int                `json:"more"` // mistakes that are not listed
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	if c.Settings == "" && c.Manifest == "" {
		return &exitError{ExitUsage, errors.New("nothing to check"), "give --settings FILE, --manifest FILE or both"}
	}
	if c.Account != "" && c.Manifest == "" {
		return &exitError{ExitUsage, errors.New("--account needs a manifest"), "give --manifest FILE as well"}
	}
	if c.Certificates && c.Settings == "" {
		return &exitError{ExitUsage, errors.New("--certificates needs settings"), "give --settings FILE as well"}
	}
	res, err := c.run()
	if err != nil {
		return &exitError{ExitError, err, "see that the file exists and can be read"}
	}
	if err := c.print(res); err != nil {
		return err
	}
	for _, f := range res.Files {
		if len(f.Mistakes) > 0 {
			return &exitError{ExitInvalid, errors.Errorf("%s has mistakes", f.File), "correct them and check again; a manifest with mistakes is refused as a whole"}
		}
	}
	if res.Account != nil && !res.Account.OK() {
		return &exitError{ExitUnaccounted, errors.Errorf("%s: %d lines are not carried, %d sources are wrong", c.Account, res.Account.Unaccounted, len(res.Account.Mistakes)),
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
	r := fileResult{File: file, Mistakes: []tomlfile.Problem{}, Warnings: append([]tomlfile.Problem{}, warnings...)}
	if err == nil {
		return r
	}
	if e, ok := errors.Into[*tomlfile.Error](err); ok {
		r.Mistakes, r.Omitted = e.Problems, e.Omitted
	} else {
		r.Mistakes = append(r.Mistakes, tomlfile.Problem{Text: err.Error()})
	}
	return r
}

// print writes mistakes to stderr and the rest to stdout.
func (c *checkCommand) print(res *checkResult) error {
	if c.JSON {
		return c.app.json(res)
	}
	for _, f := range res.Files {
		for _, p := range f.Mistakes {
			_, _ = fmt.Fprintln(c.app.stderr, p.WithFile(f.File))
		}
		if f.Omitted > 0 {
			_, _ = fmt.Fprintf(c.app.stderr, "%s: and %d more mistakes\n", f.File, f.Omitted)
		}
		for _, p := range f.Warnings {
			_, _ = fmt.Fprintln(c.app.stdout, "warning: "+p.WithFile(f.File))
		}
		if len(f.Mistakes) == 0 {
			_, _ = fmt.Fprintf(c.app.stdout, "%s: no mistakes\n", f.File)
		}
	}
	if res.Account != nil {
		return res.Account.Write(c.app.stdout)
	}
	return nil
}
