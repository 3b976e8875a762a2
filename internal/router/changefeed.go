package router

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"lotushook/internal/changefeed"
	"lotushook/internal/operr"
	"lotushook/internal/pgwire"
	"lotushook/internal/siteconfig"
	"lotushook/policy/balance"
	"lotushook/policy/clock"
	"lotushook/policy/crdt"
	"lotushook/policy/cursor"
)

// changefeedService answers the requests of feed classes. They don't reach the decision module; the reads that it makes at data servers
// do, as requests of the same class, so that pending counts, slow start and limits apply to them.
type changefeedService struct {
	router         *Router
	settings       *siteconfig.Feeds
	feeds          *changefeed.Feeds
	requestCount   atomic.Uint64
	internalClient *client // the client of the router's own requests
}

func newChangefeedService(r *Router, own *siteconfig.Feeds) (*changefeedService, error) {
	f := &changefeedService{router: r, settings: own, internalClient: &client{left: make(chan struct{})}}
	all, by := own.CursorSettings()
	for name := range by {
		i := r.config.Settings.Class(name)
		if i < 0 {
			return nil, fmt.Errorf("feeds: classes.%s: the platform has no such class", name)
		}
		if k := r.config.Settings.Balance.Classes[i]; k.Consistency == balance.Write || k.Idempotency != balance.Idempotent {
			return nil, fmt.Errorf("feeds: classes.%s: not one of reads that may be repeated", name)
		}
	}
	o := changefeed.Options{Settings: all, Classes: by, Waiting: own.MaxWaiting, ReadFor: time.Duration(own.ReadTimeoutMS) * time.Millisecond,
		Self: crdt.Origin{Name: r.config.Name, Boot: uint64(r.clock.unix)}, Now: r.clock.now, Read: f.read}
	if r.membership != nil {
		o.State = r.membership.state
	}
	var err error
	if f.feeds, err = changefeed.New(o); err != nil {
		return nil, fmt.Errorf("feeds: %w", err)
	}
	return f, nil
}

// answer answers a subscriber. Its connection's reader set the seat before any of its tasks began.
func (f *changefeedService) answer(c *client, q *pgwire.Request, seat *changefeed.Subscription, came clock.Nanos) []byte {
	r := &changefeed.Request{Class: q.Class, Group: q.Cluster, Subscriber: q.Session, Gen: q.Generation, Who: c.identity, Left: c.left,
		Until: came + int64(max(q.Timeout-deadlineMargin, q.Timeout/2))}
	if q.Session == "" {
		return errorAnswer(pgwire.CodeInvalidParameter, "a feed needs a subscriber: the quoted key of the statement")
	}
	if (q.History != "") != q.HasAfter {
		return errorAnswer(pgwire.CodeInvalidParameter, "a cursor is after and history together")
	}
	if q.History != "" {
		h, err := cursor.ParseHistory(q.History)
		if err != nil {
			return errorAnswer(pgwire.CodeInvalidParameter, err.Error())
		}
		r.After = cursor.Position{History: h, At: q.After}
	}
	value, err := f.feeds.Answer(seat, r)
	if err == nil {
		return pgwire.AppendReady(pgwire.AppendRow(nil, "feed", string(value)))
	}
	return feedError(err)
}

// feedError is the error a client receives: the kind is the message's first word, the hint its HINT field.
func feedError(err error) []byte {
	code, wait, hint, kind := pgwire.CodeTooManyConnections, "", "", "failed"
	var crowded *cursor.OverloadedError
	var unread *cursor.UnreadableError
	var no *cursor.RejectedError
	switch {
	case errors.As(err, &crowded):
		wait = retryAfterField(crowded.RetryAfter)
	case errors.As(err, &unread):
		wait = retryAfterField(unread.RetryAfter)
	case errors.As(err, &no):
		code = pgwire.CodeInvalidCursor
	}
	if e := operr.Of(err); e != nil {
		kind, hint = e.Kind(), e.Hint()
	}
	return pgwire.AppendReady(pgwire.AppendErrorWithHint(nil, "ERROR", code, kind+": "+err.Error(), wait, hint))
}

// read reads from a member through the decision module, like a client of the class.
func (f *changefeedService) read(ask changefeed.ReadRequest) changefeed.ReadResult {
	now := f.router.clock.now()
	var text strings.Builder
	fmt.Fprintf(&text, "/* id=feed-%x-%d,c=%s,d=%d,cluster=%d", uint32(f.router.clock.unix>>10), f.requestCount.Add(1), ask.Class, max(1, (ask.Until-now)/1e6), ask.Group)
	if ask.After.History != (cursor.History{}) {
		text.WriteString(",after=" + strconv.FormatInt(ask.After.At, 10) + ",history=" + ask.After.String())
	}
	fmt.Fprintf(&text, " */ SELECT feed(%d)", ask.MaxEvents)
	parsed, err := pgwire.ParseRequest(text.String())
	if err != nil {
		return changefeed.ReadResult{Err: err}
	}
	end := &internalResult{}
	r := &request{Request: parsed, router: f.router, client: f.internalClient, identity: ask.Who, actions: make(chan balance.Action, actionQueueSize), deadline: ask.Until, result: end}
	r.run()
	switch {
	case end.served:
		return changefeed.ReadResult{Value: end.value}
	case end.retryAfter > 0:
		return changefeed.ReadResult{Wait: end.retryAfter, Err: errors.New("refused by this router's own decisions")}
	}
	return changefeed.ReadResult{Err: context.DeadlineExceeded}
}
