package standin

import (
	"cmp"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/dotterelthread/dotterelthread/internal/protocol/vmlist"
)

// VMList is a stand-in for the platform's list of VMs. Readers see changes only after a lag. It is safe for
// concurrent use.
type VMList struct {
	lag time.Duration
	now func() time.Time

	mu sync.Mutex
	// versions is sorted by time; the first version is the one that readers see.
	versions []vmVersion
}

type vmVersion struct {
	since time.Time
	vms   map[string]vmlist.VM
}

// NewVMList returns an empty list. If now is nil, the list uses the system clock.
func NewVMList(lag time.Duration, now func() time.Time) *VMList {
	if now == nil {
		now = time.Now
	}
	return &VMList{lag: lag, now: now, versions: []vmVersion{{vms: map[string]vmlist.VM{}}}}
}

// Put adds or replaces a VM.
func (l *VMList) Put(vm vmlist.VM) { l.change(func(vms map[string]vmlist.VM) { vms[vm.ID] = vm }) }

// Remove removes a VM that has terminated.
func (l *VMList) Remove(id string) { l.change(func(vms map[string]vmlist.VM) { delete(vms, id) }) }

func (l *VMList) change(edit func(map[string]vmlist.VM)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.trimVersions()
	vms := maps.Clone(l.versions[len(l.versions)-1].vms)
	edit(vms)
	l.versions = append(l.versions, vmVersion{since: l.now(), vms: vms})
}

// VMs returns the list as readers see it, sorted by ID.
func (l *VMList) VMs() []vmlist.VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.trimVersions()
	return slices.SortedFunc(maps.Values(l.versions[0].vms), func(a, b vmlist.VM) int { return cmp.Compare(a.ID, b.ID) })
}

// trimVersions drops versions that readers no longer see.
func (l *VMList) trimVersions() {
	visible := l.now().Add(-l.lag)
	for len(l.versions) > 1 && !l.versions[1].since.After(visible) {
		l.versions = l.versions[1:]
	}
}

// Handler returns an HTTP handler that serves the list at GET /vms and accepts changes at PUT and DELETE
// /vms/:id.
func (l *VMList) Handler() http.Handler {
	r := httprouter.New()
	r.GET("/vms", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		writeResult(w, vmlist.List{VMs: append([]vmlist.VM{}, l.VMs()...)}, nil)
	})
	r.PUT("/vms/:id", func(w http.ResponseWriter, req *http.Request, p httprouter.Params) {
		var vm vmlist.VM
		if err := json.NewDecoder(req.Body).Decode(&vm); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		vm.ID = p.ByName("id")
		l.Put(vm)
	})
	r.DELETE("/vms/:id", func(_ http.ResponseWriter, _ *http.Request, p httprouter.Params) {
		l.Remove(p.ByName("id"))
	})
	return r
}
