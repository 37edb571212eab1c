package quota

import (
	"math"
	"math/bits"
	"time"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/rendezvous"
)

const (
	askerPeriod = 500 * time.Millisecond // over which the hosts that ask are counted
	demandTime  = time.Second            // over which the demand is averaged
	usualTime   = time.Minute            // over which the usual demand is averaged
	// usualAge is the age of a bucket below which the usual demand is unknown.
	usualAge = 10 * time.Second
	// maxReturns bounds the returns that are told apart from repeated ones; a
	// returnTime is the time within which a repeated datagram arrives.
	maxReturns = 16
	returnTime = time.Second
)

// bucket is the token bucket of an account at its owner. Its size does not depend on the
// number of hosts.
type bucket struct {
	level float64
	at    clock.Time // of level
	since clock.Time // start of the ownership
	// carefulUntil is the time until which another host may own the account as well.
	carefulUntil clock.Time
	started      bool       // see Node.addStartTokens
	askers       [2]uint64  // bitmaps of hosts that asked in this and the last askerPeriod
	period       clock.Time // start of this askerPeriod
	// granted counts the tokens of this and the last TokenLife.
	granted      [2]float64
	grantedSince clock.Time
	demand       rate
	usual        rate
	returns      [maxReturns]returned
	nextReturn   int
}

type returned struct {
	id uint32
	at clock.Time
}

// depth returns the most tokens that a bucket holds.
func depth(l Limit) float64 { return l.Burst*burstHeadroom + l.Rate*(headroom-1) + spareTokens }

// refill adds the tokens since the last call. share is the part of the quota that this
// owner hands out.
func (b *bucket) refill(now clock.Time, l Limit, share float64) {
	if now > b.at {
		elapsed := now.Sub(b.at)
		careful := min(now, b.carefulUntil).Sub(b.at)
		effective := elapsed - time.Duration(float64(max(careful, 0))*(1-takeoverShare))
		b.level += l.Rate * headroom * share * effective.Seconds()
		b.at = now
	}
	b.level = min(b.level, depth(l)*share)
}

// grant answers an ask of the host with the given address.
func (b *bucket) grant(now clock.Time, l Limit, share float64, a *Ask, from string) Grant {
	b.refill(now, l, share)
	b.rotate(now)
	b.takeBack(now, l, share, a)
	b.askers[0] |= 1 << (rendezvous.NewKey(from).Score("") >> 58)
	b.demand.add(now, float64(a.Seen), demandTime)
	b.usual.add(now, float64(a.Seen), usualTime)
	g := Grant{ID: a.ID, Excess: b.excess(now)}
	available := math.Floor(max(b.level, 0))
	wanted := float64(a.Waiting)
	granted := min(wanted, available)
	ahead := math.Floor((available - granted) / (b.askerCount() + 1))
	granted += max(min(float64(a.Ahead), ahead), 0)
	b.level -= granted
	b.granted[0] += granted
	g.Granted = int(granted)
	if granted < wanted {
		b.refuse(now, &g, l.Rate*headroom*share)
	}
	return g
}

// refuse sets how long the host holds back and when callers find room, for a rate of
// tokens per second.
func (b *bucket) refuse(now clock.Time, g *Grant, perSecond float64) {
	wait := seconds((1 - b.level) / perSecond)
	// Each asking host then gets about one token when it asks next.
	g.Hold = min(max(seconds(b.askerCount()/perSecond), min(wait, maxHold), minHold), maxHold)
	// Others come back as well: the room of a second is used up by as many callers.
	crowd := max(b.demand.value(now, demandTime)/perSecond, 1)
	g.RetryAfter = min(max(wait, g.Hold, seconds((crowd-1)*g.Hold.Seconds())), maxRetryAfter)
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxRetryAfter.Seconds()) * float64(time.Second))
}

// rotate starts new periods of counting.
func (b *bucket) rotate(now clock.Time) {
	if d := now.Sub(b.period); d >= askerPeriod {
		b.askers[1], b.askers[0] = b.askers[0], 0
		if d >= 2*askerPeriod {
			b.askers[1] = 0
		}
		b.period = now
	}
	if d := now.Sub(b.grantedSince); d >= TokenLife {
		b.granted[1], b.granted[0] = b.granted[0], 0
		if d >= 2*TokenLife {
			b.granted[1] = 0
		}
		b.grantedSince = now
	}
}

// askerCount estimates how many hosts ask, by linear counting.
func (b *bucket) askerCount() float64 {
	empty := 64 - bits.OnesCount64(b.askers[0]|b.askers[1])
	return max(1, -64*math.Log(max(float64(empty), 0.5)/64))
}

// takeBack accepts tokens that the host did not spend. The bucket and the tokens that may
// still be spent together stay within its depth, and each return counts once.
func (b *bucket) takeBack(now clock.Time, l Limit, share float64, a *Ask) {
	if a.Returned <= 0 {
		return
	}
	for i := range b.returns {
		if r := &b.returns[i]; r.at != 0 && r.id == a.ID {
			return
		}
	}
	r := &b.returns[b.nextReturn]
	if r.at != 0 && now.Sub(r.at) < returnTime {
		return
	}
	*r = returned{a.ID, now}
	b.nextReturn = (b.nextReturn + 1) % maxReturns
	room := depth(l)*share - b.level - b.granted[0] - b.granted[1]
	b.level += max(min(float64(a.Returned), room), 0)
}

// excess returns the demand as a multiple of the usual demand.
func (b *bucket) excess(now clock.Time) float64 {
	usual := b.usual.value(now, usualTime)
	if now.Sub(b.since) < usualAge || usual <= 0 {
		return 1
	}
	return b.demand.value(now, demandTime) / usual
}

// rate is an exponentially weighted mean of events per second.
type rate struct {
	v       float64
	at      clock.Time
	started clock.Time
}

func (r *rate) add(now clock.Time, n float64, over time.Duration) {
	if r.started == 0 {
		r.started, r.at = now, now
	}
	r.decay(now, over)
	r.v += n / over.Seconds()
}

func (r *rate) decay(now clock.Time, over time.Duration) {
	if now > r.at {
		r.v *= math.Exp(-float64(now.Sub(r.at)) / float64(over))
		r.at = now
	}
}

// value returns the mean at now. Before the mean covers the time over which it is taken,
// it is scaled up for the time that it does cover.
func (r *rate) value(now clock.Time, over time.Duration) float64 {
	r.decay(now, over)
	covered := 1 - math.Exp(-float64(max(now.Sub(r.started), over/10))/float64(over))
	return r.v / covered
}
