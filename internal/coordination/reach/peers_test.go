package reach

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

func newTestPeers(vms ...string) (peers *Peers, advance func(time.Duration)) {
	now := time.Unix(1000, 0)
	var list []Peer
	for _, vm := range vms {
		list = append(list, Peer{VM: vm, Address: vm + ":1"})
	}
	return NewPeers(PeersConfig{
		List: func() []Peer { return append([]Peer(nil), list...) }, Now: func() time.Time { return now }, Rand: rand.New(rand.NewPCG(1, 2)),
	}), func(d time.Duration) { now = now.Add(d) }
}

// picks returns how often each of the peers is chosen.
func picks(p *Peers, service string, tried ...string) map[string]int {
	chosen := make(map[string]int)
	for range 300 {
		if peer, ok := p.Pick(service, tried); ok {
			chosen[peer.VM]++
		}
	}
	return chosen
}

// Guards against all requests going to one peer, and to one that has refused the request already.
func TestPicksArePerRequestAndSpread(t *testing.T) {
	is := is.New(t)
	p, _ := newTestPeers("x", "y", "z")
	for _, n := range picks(p, "s") {
		is.True(n > 50)
	}
	is.Equal(len(picks(p, "s")), 3)
	is.Equal(picks(p, "s", "x:1", "z:1"), map[string]int{"y": 300})
	is.Equal(len(picks(p, "s", "x:1", "y:1", "z:1")), 0)
}

// Guards against requests to peers that have just said that they reach no upstream, or that cannot be reached, and against
// leaving them out for good.
func TestPeersAreLeftOutForAWhile(t *testing.T) {
	is := is.New(t)
	p, advance := newTestPeers("x", "y", "z")
	p.NoPath(Peer{Address: "x:1"}, "s")
	p.Avoid(Peer{Address: "y:1"})
	is.Equal(picks(p, "s"), map[string]int{"z": 300})
	is.Equal(len(picks(p, "t")), 2) // x reaches the upstreams of another service
	p.Busy(Peer{Address: "z:1"})
	is.Equal(len(picks(p, "s")), 0)
	advance(avoidBusy)
	is.Equal(picks(p, "s"), map[string]int{"z": 300})
	advance(avoidPeer + avoidJitter)
	is.Equal(len(picks(p, "s")), 3)
}

// Guards against requests to peers of which it is known that they reach no upstream, and against a refusal because all
// have said so a while ago.
func TestPeersThatReachUpstreamsComeFirst(t *testing.T) {
	is := is.New(t)
	list := []Peer{{VM: "x", Address: "x:1", Unreachable: []string{"s"}}, {VM: "y", Address: "y:1"}, {VM: "z", Address: "z:1", Unreachable: []string{"t", "s"}}}
	p := NewPeers(PeersConfig{List: func() []Peer { return slices.Clone(list) }, Now: time.Now})
	is.Equal(picks(p, "s"), map[string]int{"y": 300})
	is.Equal(len(picks(p, "t")), 2)
	is.Equal(len(picks(p, "s", "y:1")), 2)
}

// Guards against asking the whole fleet again and again while the upstreams of a service are down for all.
func TestPauseWhileNoPeerReachesAnUpstream(t *testing.T) {
	is := is.New(t)
	p, advance := newTestPeers("x", "y", "z")
	for _, length := range []time.Duration{minPause, 2 * minPause, 4 * minPause, maxPause, maxPause} {
		p.Pause("s")
		advance(length - time.Millisecond)
		is.Equal(len(picks(p, "s")), 0)
		is.Equal(len(picks(p, "t")), 3)
		advance(time.Millisecond)
		is.Equal(len(picks(p, "s")), 3)
	}
	p.Served("s")
	p.Pause("s")
	advance(minPause)
	is.Equal(len(picks(p, "s")), 3)
}

// Guards against requests that are passed on to a router in a region that must not see them.
func TestPicksPeersInRegions(t *testing.T) {
	is := is.New(t)
	p := NewPeers(PeersConfig{
		List: func() []Peer { return []Peer{{Address: "n:1", Region: "north"}, {Address: "s:1", Region: "south"}} }, Now: time.Now,
	})
	for range 50 {
		peer, ok := p.PickIn("s", nil, func(region string) bool { return region == "south" })
		is.True(ok)
		is.Equal(peer.Region, "south")
	}
	_, ok := p.PickIn("s", nil, func(string) bool { return false })
	is.True(!ok)
}
