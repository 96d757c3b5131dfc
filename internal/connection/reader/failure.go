package reader

import (
	"context"
	"net"
	"net/http"

	"github.com/go-faster/errors"

	"magnoliafront.dev/magnoliafront/internal/connection/validator"
)

// emitFailure emits the last event of a request that failed with err. To tell a
// crashed upstream from one that failed the request, it checks whether the
// upstream is still reachable.
func (r *Reader) emitFailure(ctx context.Context, err error) {
	e := Event{Kind: eventKind(err), Err: err}
	var detail *Error
	if errors.As(err, &detail) && isRequestInvalid(detail.Status) {
		e.Status = detail.Status
	}
	if ctx.Err() == nil && isKind(err, ErrorUnreachable) {
		e.Unreachable = true
	}
	if ctx.Err() != nil || e.Kind != EventLost {
		r.emitEvent(e)
		return
	}
	e.Crashed = isKind(err, ErrorBroken)
	err = ping(ctx, r.client, r.url, probeTimeout)
	silent := errors.Is(err, context.DeadlineExceeded)
	e.Unreachable = err != nil && !silent && ctx.Err() == nil
	r.emitEvent(e)
	if silent && ping(ctx, r.client, r.url, silenceTimeout) != nil && ctx.Err() == nil {
		r.emitEvent(Event{Kind: EventSilent, Unreachable: true})
	}
}

// transportErrorKind classifies the error of a request without a response. If
// the dial failed, nothing was sent.
func transportErrorKind(err error) ErrorKind {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return ErrorUnreachable
	}
	return sentErrorKind(err)
}

// sentErrorKind classifies the error of a request that was sent and has no valid response.
func sentErrorKind(err error) ErrorKind {
	var invalid *validator.Error
	if errors.As(err, &invalid) {
		return ErrorMalformed
	}
	return ErrorBroken
}

// isRequestInvalid reports whether a status means that the request is invalid,
// as opposed to an engine that cannot serve it at present.
func isRequestInvalid(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return true
	}
	return false
}

// isKind reports whether err is an [Error] with the kind k.
func isKind(err error, k ErrorKind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == k
}

// eventKind returns the kind of the event that reports err.
func eventKind(err error) EventKind {
	if isKind(err, ErrorRejected) || isKind(err, ErrorUnreachable) {
		return EventRejected
	}
	return EventLost
}
