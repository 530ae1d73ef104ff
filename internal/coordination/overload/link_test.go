package overload

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// previousShedder is the control of the refused ratio before Link: it rises by 0.2 per 100 ms while the measured use of the
// link is above 0.7, and falls by 0.03 per 100 ms.
type previousShedder struct {
	use, ratio float64
	samples    int
}

func (s *previousShedder) sample(use float64) {
	s.use += (use - s.use) * 0.1
	if s.samples++; s.samples%5 != 0 {
		return
	}
	if s.ratio = max(0, s.ratio-0.03); s.use > 0.7 {
		s.ratio = min(0.9, s.ratio+0.23)
	}
}

const (
	testBandwidth = 1.25e6 // 10 Mbit/s
	largeBody     = 12_000
	smallBody     = 1_000
	testResponse  = 2_000
)

// linkResult counts requests by size: those of 12 kB and those of 1 kB.
type linkResult struct {
	offered, refused map[int]int
	// sent and received are the used fractions of the bandwidth in both directions, and delayed the longest time in ms that bytes
	// waited for the link.
	sent, received float64
	delayed        int
	// refusedAfter counts the refusals more than 400 ms after the end of a burst.
	refusedAfter int
}

func (r linkResult) served(body int) float64 {
	return 1 - float64(r.refused[body])/float64(r.offered[body])
}

// runLink offers requests of 12 kB and 1 kB, in equal numbers, to a link for 10 s. perSecond returns their number by time. A
// body is received and then sent to the upstream, whose response of 2 kB follows after 60 ms.
func runLink(previous bool, burstEnd time.Duration, perSecond func(time.Duration) float64) linkResult {
	rng, now := rand.New(rand.NewPCG(1, 2)), time.Unix(1000, 0)
	start := now
	link, shedder := NewLink(LinkConfig{Bandwidth: testBandwidth, Now: func() time.Time { return now }}), New(Config{Rand: rng.Float64})
	old := &previousShedder{}
	res := linkResult{offered: make(map[int]int), refused: make(map[int]int)}
	var toSend, toReceive, sent, received, sentBefore, receivedBefore float64
	responses := make(map[int]int) // bytes by the millisecond in which they arrive
	const perMS = testBandwidth / 1000
	for ms := range 10_000 {
		now = now.Add(time.Millisecond)
		for rate := perSecond(now.Sub(start)) / 1000; rng.Float64() < rate; rate-- {
			body := smallBody
			if rng.IntN(2) == 0 {
				body = largeBody
			}
			res.offered[body]++
			refuse := rng.Float64() < old.ratio
			if !previous {
				refuse = shedder.ShouldRefuse(0) || link.ShouldRefuse(0, int64(body))
			}
			if refuse {
				res.refused[body]++
				if burstEnd > 0 && now.Sub(start) > burstEnd+400*time.Millisecond {
					res.refusedAfter++
				}
				toReceive += min(4096, float64(body))
				toSend += refusalBytes
				continue
			}
			toReceive += float64(body)
			toSend += float64(body)
			responses[ms+60] += testResponse
		}
		toReceive += float64(responses[ms])
		toSend += float64(responses[ms])
		n := min(toSend, perMS)
		toSend, sent = toSend-n, sent+n
		n = min(toReceive, perMS)
		toReceive, received = toReceive-n, received+n
		res.delayed = max(res.delayed, int(max(toSend, toReceive)/perMS))
		if ms%20 == 19 {
			in, out := received-receivedBefore, sent-sentBefore
			use := max(in, out) / (20 * perMS)
			old.sample(use)
			shedder.Sample(SampleInterval, use)
			link.Sample(SampleInterval, int64(in), int64(out))
			receivedBefore, sentBefore = received, sent
		}
	}
	res.sent, res.received = sent/(10_000*perMS), received/(10_000*perMS)
	return res
}

// Guards against a link of 10 Mbit/s that refuses although it could carry more, goes on refusing after a burst, delays what
// it has admitted, or refuses large requests first. It carries about 147 requests of these sizes per second.
func TestLinkStaysNearItsLimit(t *testing.T) {
	steady := func(rate float64) func(time.Duration) float64 { return func(time.Duration) float64 { return rate } }
	burst := func(at time.Duration) float64 {
		if at >= 3*time.Second && at < 3500*time.Millisecond {
			return 300
		}
		return 70
	}
	for _, tt := range []struct {
		name      string
		perSecond func(time.Duration) float64
		burstEnd  time.Duration
		// minUse is the least use of the fuller direction.
		minUse float64
	}{
		{"1.5 times the link", steady(220), 0, 0.72},
		{"0.7 times the link", steady(100), 0, 0},
		{"half of the link and a burst of 0.5 s", burst, 3500 * time.Millisecond, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			before, after := runLink(true, tt.burstEnd, tt.perSecond), runLink(false, tt.burstEnd, tt.perSecond)
			t.Logf("before %+v", before)
			t.Logf("after  %+v", after)
			refused := func(r linkResult) int { return r.refused[largeBody] + r.refused[smallBody] }
			is.True(refused(after) <= refused(before))
			is.True(max(after.sent, after.received) >= tt.minUse)
			is.True(10*after.refusedAfter <= before.refusedAfter)
			is.True(after.delayed <= 400)
			is.True(after.served(largeBody) >= 0.8*after.served(smallBody))
		})
	}
}

// Guards against a full link that serves less urgent requests first, or refuses one priority without end: requests of 12 kB
// with the priorities 0, 1 and 2, in equal numbers, at 1.5 times the link.
func TestLinkServesUrgentRequestsFirst(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	link := NewLink(LinkConfig{Bandwidth: testBandwidth, Now: func() time.Time { return now }})
	var served [3]int
	var out int64
	for i := range 1500 {
		now = now.Add(time.Second / 130)
		if !link.ShouldRefuse(i%3, largeBody) {
			served[i%3]++
			out += largeBody + testResponse
		}
		if i%3 == 2 {
			link.Sample(3*time.Second/130, out, out)
			out = 0
		}
	}
	t.Logf("served of 500 by priority: %v", served)
	is.True(served[0] >= served[1] && served[1] >= served[2])
	is.True(served[0] > 475 && served[2] > 10)
}
