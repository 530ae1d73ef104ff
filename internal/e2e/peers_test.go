package e2e

import (
	"context"
	"encoding/json"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/dotterelthread/dotterelthread/internal/coordination/configsync"
	"github.com/dotterelthread/dotterelthread/internal/coordination/membership"
	"github.com/dotterelthread/dotterelthread/internal/protocol/logstream"
	"github.com/dotterelthread/dotterelthread/internal/protocol/peerapi"
	"github.com/dotterelthread/dotterelthread/internal/protocol/record"
	"github.com/dotterelthread/dotterelthread/internal/protocol/vmlist"
	"github.com/dotterelthread/dotterelthread/internal/standin"
	"github.com/dotterelthread/dotterelthread/internal/state/catalogue"
	"github.com/dotterelthread/dotterelthread/internal/transport/peer"
)

// partitionableLog is one router's connection to the log, which a test can interrupt.
type partitionableLog struct {
	logstream.Log
	partitioned atomic.Bool
}

func (c *partitionableLog) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (logstream.Page, error) {
	if c.partitioned.Load() {
		return logstream.Page{}, logstream.ErrUnavailable
	}
	page, err := c.Log.Read(ctx, stream, from, limit, wait)
	if c.partitioned.Load() {
		return logstream.Page{}, logstream.ErrUnavailable
	}
	return page, err
}

type staticVMList []vmlist.VM

func (l staticVMList) VMs(context.Context) ([]vmlist.VM, error) { return l, nil }

// peerRouter runs the membership and the configuration follower of one router on real sockets.
type peerRouter struct {
	log    *partitionableLog
	config *configsync.Follower
	member *membership.Membership
}

func startPeerRouter(t *testing.T, vm string, listener net.Listener, list staticVMList, log logstream.Log, versions peerapi.Versions) *peerRouter {
	t.Helper()
	logger := logrus.New()
	logger.SetLevel(logrus.PanicLevel)
	cfg := peer.Config{
		Self:   peerapi.Identity{VM: vm, Incarnation: vm + "-1", Zone: "z", Region: "r", Address: listener.Addr().String()},
		Key:    []byte("0123456789abcdef0123456789abcdef"),
		Logger: logger, Versions: versions,
	}
	server, err := peer.NewServer(cfg)
	if err != nil {
		t.Fatal(err)
	}
	pool, err := peer.NewPool(cfg)
	if err != nil {
		t.Fatal(err)
	}
	n := &peerRouter{log: &partitionableLog{Log: log}}
	n.config = configsync.NewFollower(n.log, logger)
	status := func() peerapi.ConfigStatus { return n.config.Status(n.member.Reports()) }
	n.member = membership.New(membership.DefaultConfig(cfg.Self), list, pool, status, logger)
	server.Handle(peerapi.MethodHeartbeat, n.member.HandleHeartbeat)
	server.Handle(peerapi.MethodConfigFetch, n.config.HandleFetch)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 4)
	for _, run := range []func(){
		func() { _ = server.Serve(ctx, listener) },
		func() { n.member.Run(ctx) },
		func() { n.config.Run(ctx) },
		func() { n.config.RunFetch(ctx, pool, n.member.Reports) },
	} {
		go func() { run(); done <- struct{}{} }()
	}
	t.Cleanup(func() {
		cancel()
		pool.Close()
		for range 4 {
			<-done
		}
	})
	return n
}

func eventually(t *testing.T, condition string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for: %s", condition)
		}
	}
}

// Guards against a router that is partitioned from the log during a configuration update and continues to
// serve with the old version, or refuses requests although it could get the update from a peer. One router
// uses the previous protocol version.
func TestPartitionedRouterFetchesUpdateFromPeer(t *testing.T) {
	is := is.New(t)
	log := standin.NewLog()
	var listeners []net.Listener
	var list staticVMList
	for _, vm := range []string{"vm-0", "vm-1", "vm-2"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		listeners = append(listeners, l)
		list = append(list, vmlist.VM{ID: vm, Address: l.Addr().String(), Zone: "z", Region: "r", State: vmlist.StateLive})
	}
	var routers []*peerRouter
	for i, l := range listeners {
		versions := peerapi.Versions{Min: peerapi.MinVersion, Max: peerapi.Version}
		if i == 1 {
			versions = peerapi.Versions{Min: peerapi.MinVersion, Max: peerapi.MinVersion}
		}
		routers = append(routers, startPeerRouter(t, list[i].ID, l, list, log, versions))
	}
	isolated := routers[2]
	isolated.log.partitioned.Store(true)
	update := configsync.Update{ID: "p1"}
	update.Upserts.Entries = []catalogue.Entry{{Name: "x"}}
	data, err := json.Marshal(update)
	is.NoErr(err)
	_, err = log.Append(context.Background(), record.ConfigStream, data)
	is.NoErr(err)
	eventually(t, "the isolated router has version 1", func() bool { return isolated.config.Current().Version == 1 })
	const lease = 4 * time.Second
	eventually(t, "a peer extends its lease", func() bool {
		return configsync.Lease(isolated.config.LeaseInput(lease, isolated.member.Reports(), 3)) == configsync.LeaseByPeer
	})
	eventually(t, "version 1 is active on every router", func() bool {
		_, all := configsync.RolloutStatus(1, routers[0].member.Reports())
		return all
	})
}
