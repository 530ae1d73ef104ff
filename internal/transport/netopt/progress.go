package netopt

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrStalled reports a transfer in which nothing arrived for too long.
var ErrStalled = errors.New("nothing arrived in time")

// DoWithProgress sends an HTTP request that fails with ErrStalled if its response does not begin within the
// time first, or if nothing of the body arrives for the time stall. The time of the whole transfer, which
// depends on the size of the response, is limited by the request's context only. The caller must close the
// body.
func DoWithProgress(client *http.Client, req *http.Request, first, stall time.Duration) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(req.Context())
	timer := time.AfterFunc(first, func() { cancel(ErrStalled) })
	resp, err := client.Do(req.WithContext(ctx))
	if err != nil {
		timer.Stop()
		err = errors.CombineErrors(context.Cause(ctx), err)
		cancel(nil)
		return nil, err
	}
	timer.Reset(stall)
	resp.Body = &progressBody{ReadCloser: resp.Body, ctx: ctx, timer: timer, stall: stall, cancel: cancel}
	return resp, nil
}

// progressBody restarts a timer whenever data arrives. The timer's function cancels the request.
type progressBody struct {
	io.ReadCloser
	ctx    context.Context
	timer  *time.Timer
	stall  time.Duration
	cancel context.CancelCauseFunc
}

// Read implements io.Reader.
func (b *progressBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.timer.Reset(b.stall)
	}
	if err != nil && err != io.EOF {
		err = errors.CombineErrors(context.Cause(b.ctx), err)
	}
	return n, err
}

// Close implements io.Closer.
func (b *progressBody) Close() error {
	b.timer.Stop()
	err := b.ReadCloser.Close()
	b.cancel(nil)
	return err
}
