package front

import (
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp"

	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

// maxKeys limits the order keys issued in one response.
const maxKeys = 64

// refuse writes the response for an outcome without a response of a backend server. A
// status of 0 selects the status of the reason.
func (f *Front) refuse(ctx *fasthttp.RequestCtx, out filter.Outcome, status int) error {
	f.Counters.Refusal(out.Reason)
	if status == 0 {
		status = refusalStatus(out)
	}
	writeVerdictHeaders(&ctx.Response, out)
	ctx.Response.Header.SetContentType("text/plain; charset=utf-8")
	ctx.SetStatusCode(status)
	ctx.SetBodyString(out.Reason.Help() + "\n")
	return nil
}

func refusalStatus(out filter.Outcome) int {
	if out.Reason == verdict.ReasonNone {
		return fiber.StatusInternalServerError
	}
	return out.Reason.Status()
}

// readError responds to a request that could not be read. fasthttp closes the connection
// afterwards.
func (f *Front) readError(ctx *fasthttp.RequestCtx, err error) {
	reason, status, headersRead := verdict.ReasonBadRequest, fiber.StatusBadRequest, false
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &small):
		reason, status = verdict.ReasonTooLarge, fiber.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		reason, status, headersRead = verdict.ReasonTooLarge, fiber.StatusRequestEntityTooLarge, true
	case strings.Contains(err.Error(), "timeout"):
		status = fiber.StatusRequestTimeout
	}
	ctx.Response.Reset()
	out := filter.RefuseEarly(headersRead, orderKey(&ctx.Request.Header), reason, err)
	f.Counters.Verdict(out.Verdict)
	_ = f.refuse(ctx, out, status)
}

// fiberError responds to a request that fiber itself rejects, such as one with an unknown
// method.
func (f *Front) fiberError(c fiber.Ctx, err error) error {
	status := fiber.StatusInternalServerError
	reason := verdict.ReasonInternal
	if e, ok := errors.Into[*fiber.Error](err); ok {
		status = e.Code
		if status < 500 || status == fiber.StatusNotImplemented {
			reason = verdict.ReasonBadRequest
		}
	}
	out := filter.RefuseEarly(true, orderKey(&c.Request().Header), reason, err)
	f.Counters.Verdict(out.Verdict)
	return f.refuse(c.RequestCtx(), out, status)
}

// addVerdict adds verdict and reason to responses that fiber generates on its own, which
// it does for an unknown method.
func (f *Front) addVerdict(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		next(ctx)
		if len(ctx.Response.Header.Peek(filter.HeaderVerdict)) > 0 {
			return
		}
		out := filter.RefuseEarly(true, orderKey(&ctx.Request.Header), verdict.ReasonBadRequest, nil)
		f.Counters.Verdict(out.Verdict)
		_ = f.refuse(ctx, out, ctx.Response.StatusCode())
	}
}

// issue serves POST /.anvilfront/order-keys?n=8: one key per line.
func (f *Front) issue(c fiber.Ctx) error {
	n, err := keyCount(c.Query("n", "1"))
	if err == nil {
		var keys []string
		if keys, err = f.issueKeys(n); err == nil {
			writeVerdictHeaders(c.Response(), filter.Outcome{Verdict: verdict.Ran})
			return c.SendString(strings.Join(keys, "\n") + "\n")
		}
	}
	e := verdict.From(err)
	return f.refuse(c.RequestCtx(), filter.Outcome{Verdict: verdict.NotRun, Reason: e.Reason, Cause: e.Cause}, 0)
}

// addKeys adds the order keys requested by Anvilfront-Want-Keys. When they cannot be
// issued, the response to the request itself does not change.
func (f *Front) addKeys(c fiber.Ctx, want string) {
	n, err := keyCount(want)
	if err != nil {
		return
	}
	keys, _ := f.issueKeys(n)
	for _, k := range keys {
		c.Response().Header.Add(filter.HeaderOrderKey, k)
	}
}

func (f *Front) issueKeys(n int) ([]string, error) {
	if f.Keys == nil {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonNoRoute, nil)
	}
	return f.Keys.Issue(n)
}

func keyCount(text string) (int, error) {
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 || n > maxKeys {
		return 0, verdict.New(verdict.NotRun, verdict.ReasonBadRequest, err)
	}
	return n, nil
}
