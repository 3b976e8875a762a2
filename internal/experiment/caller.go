package experiment

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"time"
)

// caller is one client over time: its connection, and what its session wrote.
type caller struct {
	*play
	load   *Load
	part   *part
	names  []string
	fresh  bool
	rng    *rand.Rand
	number int
	count  int
	conn   *client
	wrote  int64
	group  int64
	router int // that the connection goes to
}

func (c *caller) hangUp() {
	if c.conn != nil {
		c.conn.conn.Close()
		c.conn = nil
	}
}

// draw is the next request.
func (c *caller) draw() *request {
	class := c.load.class(c.names, c.rng)
	c.count++
	k := c.e.Classes[class]
	r := &request{id: fmt.Sprintf("%s-%d-%d", c.load.Name, c.number, c.count), oid: fmt.Sprintf("%s-%d-%d", c.load.Name, c.number, c.count), class: class, wait: ms(k.WaitMS),
		group: 1 + c.rng.Int64N(int64(c.e.Fleet.Groups))}
	if c.load.Forget {
		r.oid = fmt.Sprintf("%s-%d", c.load.Name, c.number)
	}
	switch k.Read {
	case "write":
		r.key = r.id
		c.group = r.group
	case "session":
		if c.wrote > 0 {
			if r.group = c.group; !c.load.Forget {
				r.after = c.wrote
			}
		}
	}
	return r
}

// once makes one request and returns how long its client rests after it.
func (c *caller) once(_ context.Context) time.Duration {
	r := c.draw()
	began := time.Now()
	until := began.Add(r.wait)
	a := c.try(r, until)
	c.note(r, began, a)
	for n := 0; n < c.load.Repeats && a.outcome == refused; n++ {
		r.id, r.retry = fmt.Sprintf("%s-r%d", r.id, n), true
		if c.load.Elsewhere {
			c.hangUp()
		}
		again := time.Now()
		a = c.try(r, until)
		c.note(r, again, a)
	}
	if a.outcome == served && r.key != "" {
		c.wrote = time.Now().UnixMilli()
	}
	c.part.done(r.class, c.e.Classes[r.class], began, a.outcome, a.text)
	if c.fresh || c.load.Elsewhere && a.outcome == refused || a.outcome == lost || a.outcome == late || a.fatal {
		c.hangUp()
	}
	switch {
	case a.outcome == nowhere:
		return 50 * time.Millisecond
	case a.back > 0:
		return min(a.back, time.Second)
	}
	return 0
}

// try sends a request. One that crosses the closing of a connection which idled
// is sent once more on a new one.
func (c *caller) try(r *request, until time.Time) answer {
	for dials := 0; ; {
		kept := c.conn != nil
		if !kept {
			conn, err := c.dial(r, until)
			var t *rejectedError
			switch {
			case errors.As(err, &t):
				return t.answer
			case err != nil && dials == 0: // the front may deal out another router
				dials++
				continue
			case err != nil:
				return answer{outcome: nowhere}
			}
			c.conn = conn
		}
		a, err := c.conn.query(r.query(), until)
		switch {
		case err != nil && kept && !errors.Is(err, os.ErrDeadlineExceeded) && a.outcome == lost:
			c.hangUp()
			continue
		case err != nil:
			return answer{outcome: ended(err)}
		case a.outcome == served && !r.theirs(a.value):
			return answer{outcome: lost}
		}
		return a
	}
}

// pick is the router that the next connection goes to.
func (c *caller) pick() (string, error) {
	skew := c.load.Skew
	if s, ok := c.arm.Skew[c.load.Name]; ok {
		skew = s
	}
	var addr string
	var err error
	if len(skew) > 0 {
		addr, err = c.front.Skew(skew, c.rng.Float64(), time.Now())
	} else {
		addr, err = c.front.Pick(time.Now())
	}
	c.router = slices.IndexFunc(c.routers, func(p *process) bool { return p.addr == addr })
	return addr, err
}

func (c *caller) dial(r *request, until time.Time) (*client, error) {
	var addr string
	var err error
	if c.load.Direct {
		addr = c.fleet.Groups[r.group-1].Any(r.key != "", c.number)
	} else if addr, err = c.pick(); err != nil {
		return nil, err
	}
	user := c.load.User
	if user == "" {
		user = "worker"
	}
	return dial(addr, c.load.Address, user, until)
}

// note keeps what a client was told of a request, where the experiment names lanes.
func (c *caller) note(r *request, at time.Time, a answer) {
	if c.load.Lane == "" {
		return
	}
	one := sheddingRequest{id: r.id, priorityClass: c.load.Lane, account: r.oid, group: r.group, router: c.router, at: at, end: time.Now(), outcome: a.outcome}
	if a.outcome == refused {
		one.shed = shedClass(a.text)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.asked) < maxSheddingRequests {
		c.asked = append(c.asked, one)
	}
}

// class draws one of the mix; names are its classes in order.
func (l *Load) class(names []string, rng *rand.Rand) string {
	sum := 0.0
	for _, n := range names {
		sum += l.Mix[n]
	}
	x := sum * rng.Float64()
	for _, n := range names {
		if x -= l.Mix[n]; x < 0 {
			return n
		}
	}
	return names[len(names)-1]
}
