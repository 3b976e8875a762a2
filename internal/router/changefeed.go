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

// changefeedService answers the requests of change feed classes: each asks for the events that follow a cursor, the
// position up to which the client, a subscriber, has received the log of a group. These requests bypass the decision
// module. The service's own reads from data servers do pass through the decision module, as requests of the same class,
// so that pending counts, slow start and limits apply to them.
type changefeedService struct {
	router         *Router
	settings       *siteconfig.Feeds
	feeds          *changefeed.Feeds
	requestCount   atomic.Uint64
	internalClient *client // the client of the service's own reads
}

func newChangefeedService(router *Router, settings *siteconfig.Feeds) (*changefeedService, error) {
	service := &changefeedService{router: router, settings: settings, internalClient: &client{left: make(chan struct{})}}
	defaults, byClass := settings.CursorSettings()
	for name := range byClass {
		index := router.config.Settings.Class(name)
		if index < 0 {
			return nil, fmt.Errorf("feeds: classes.%s: the platform has no class of this name", name)
		}
		if class := router.config.Settings.Balance.Classes[index]; class.Consistency == balance.Write || class.Idempotency != balance.Idempotent {
			return nil, fmt.Errorf("feeds: classes.%s: not a class of idempotent reads", name)
		}
	}
	options := changefeed.Options{Settings: defaults, Classes: byClass, MaxWaiting: settings.MaxWaiting, ReadTimeout: time.Duration(settings.ReadTimeoutMS) * time.Millisecond,
		Self: crdt.Origin{Name: router.config.Name, Boot: uint64(router.clock.unix)}, Now: router.clock.now, Read: service.read}
	if router.membership != nil {
		options.State = router.membership.state
	}
	var err error
	if service.feeds, err = changefeed.New(options); err != nil {
		return nil, fmt.Errorf("feeds: %w", err)
	}
	return service, nil
}

// answer returns the answer to a subscriber's request. The reader of the client's connection created the subscription
// before it started any task that uses it.
func (service *changefeedService) answer(client *client, parsed *pgwire.Request, subscription *changefeed.Subscription, arrivedAt clock.Nanos) []byte {
	request := &changefeed.Request{Class: parsed.Class, Group: parsed.Cluster, Subscriber: parsed.Session, Generation: parsed.Generation, Identity: client.identity, ClientLeft: client.left,
		Deadline: arrivedAt + int64(max(parsed.Timeout-deadlineMargin, parsed.Timeout/2))}
	if parsed.Session == "" {
		return errorAnswer(pgwire.CodeInvalidParameter, "a feed needs a subscriber: the quoted key of the statement")
	}
	if (parsed.History != "") != parsed.HasAfter {
		return errorAnswer(pgwire.CodeInvalidParameter, "a cursor is after and history together")
	}
	if parsed.History != "" {
		history, err := cursor.ParseHistory(parsed.History)
		if err != nil {
			return errorAnswer(pgwire.CodeInvalidParameter, err.Error())
		}
		request.After = cursor.Position{History: history, At: parsed.After}
	}
	value, err := service.feeds.Answer(subscription, request)
	if err == nil {
		return pgwire.AppendReady(pgwire.AppendRow(nil, "feed", string(value)))
	}
	return feedError(err)
}

// feedError returns the error response to a client: the message begins with the error's kind, and the HINT field
// contains the error's hint.
func feedError(err error) []byte {
	code, retryAfter, hint, kind := pgwire.CodeTooManyConnections, "", "", "failed"
	var overloaded *cursor.OverloadedError
	var unreadable *cursor.UnreadableError
	var rejected *cursor.RejectedError
	switch {
	case errors.As(err, &overloaded):
		retryAfter = retryAfterField(overloaded.RetryAfter)
	case errors.As(err, &unreadable):
		retryAfter = retryAfterField(unreadable.RetryAfter)
	case errors.As(err, &rejected):
		code = pgwire.CodeInvalidCursor
	}
	if described := operr.Find(err); described != nil {
		kind, hint = described.Kind(), described.Hint()
	}
	return pgwire.AppendReady(pgwire.AppendErrorWithHint(nil, "ERROR", code, kind+": "+err.Error(), retryAfter, hint))
}

// read requests events from a data server through the decision module, like a client's request of the same class.
func (service *changefeedService) read(readRequest changefeed.ReadRequest) changefeed.ReadResult {
	now := service.router.clock.now()
	var text strings.Builder
	fmt.Fprintf(&text, "/* id=feed-%x-%d,c=%s,d=%d,cluster=%d", uint32(service.router.clock.unix>>10), service.requestCount.Add(1), readRequest.Class, max(1, (readRequest.Deadline-now)/1e6), readRequest.Group)
	if readRequest.After.History != (cursor.History{}) {
		text.WriteString(",after=" + strconv.FormatInt(readRequest.After.At, 10) + ",history=" + readRequest.After.String())
	}
	fmt.Fprintf(&text, " */ SELECT feed(%d)", readRequest.MaxEvents)
	parsed, err := pgwire.ParseRequest(text.String())
	if err != nil {
		return changefeed.ReadResult{Err: err}
	}
	result := &internalResult{}
	request := &request{Request: parsed, router: service.router, client: service.internalClient, identity: readRequest.Identity, actions: make(chan balance.Action, actionQueueSize), deadline: readRequest.Deadline, result: result}
	request.run()
	switch {
	case result.served:
		return changefeed.ReadResult{Value: result.value}
	case result.retryAfter > 0:
		return changefeed.ReadResult{RetryAfter: result.retryAfter, Err: errors.New("refused by this router's own decisions")}
	}
	return changefeed.ReadResult{Err: context.DeadlineExceeded}
}
