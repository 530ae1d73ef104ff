package prepaid

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"
)

// withChangingHolders lets few VMs hold shares, other ones with each process and from time to time. Which VMs do is a hint
// on which the VMs need not agree.
func withChangingHolders(cfg *Config) {
	var calls int
	random := rand.New(rand.NewPCG(1, uint64(len(cfg.Process))+uint64(cfg.Process[len(cfg.Process)-1])))
	holders := []string{"vm-0"}
	cfg.Routers = func() int { return BulkRouters + 4 }
	cfg.Holders = func(string) ([]string, bool) {
		if calls++; calls%40 == 0 {
			holders = []string{fmt.Sprintf("vm-%d", random.IntN(3))}
		}
		return holders, calls > 20
	}
}

// Guards against overspending where few VMs hold shares and processes fence their predecessors only when needed, under the
// faults of TestNeverOverspends.
func TestNeverOverspendsWithFewHolders(t *testing.T) { checkNeverOverspends(t, withChangingHolders) }

// Guards against unspent tokens that no VM can reserve where few VMs hold shares.
func TestNothingIsStrandedWithFewHolders(t *testing.T) {
	checkNothingIsStranded(t, withChangingHolders)
}

// Guards against holders that change when other routers come or go, shares of small budgets at many routers, and small
// fleets that save calls.
func TestHoldersOf(t *testing.T) {
	is := is.New(t)
	var vms []string
	for i := range 78 {
		vms = append(vms, fmt.Sprintf("vm-%02d", i))
	}
	is.Equal(HoldersOf("team", vms[:BulkRouters], 1, 100), nil) // all
	is.Equal(HoldersOf("team", vms, 1, holdersPerRouter), nil)  // all
	small := HoldersOf("team", vms, 1, 1000)
	is.Equal(len(small), minHolders)
	is.Equal(len(HoldersOf("team", vms, 1, 10)), 16)
	reversed := slices.Clone(vms)
	slices.Reverse(reversed)
	is.Equal(HoldersOf("team", reversed, 1, 1000), small)
	without := slices.DeleteFunc(slices.Clone(vms), func(vm string) bool { return vm == small[1] })
	kept := HoldersOf("team", without, 1, 1000)
	is.True(slices.Contains(kept, small[0]) && slices.Contains(kept, small[2]) && slices.Contains(kept, small[3]))
	count := make(map[string]int)
	for i := range 24 {
		for _, vm := range HoldersOf(fmt.Sprintf("team-%02d", i), vms, 1, 24) {
			count[vm]++
		}
	}
	for vm, n := range count {
		if n > 4*holdersPerRouter {
			t.Errorf("%s holds %d of 24 shares", vm, n)
		}
	}
}
