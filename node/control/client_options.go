package control

import (
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/quarantine"
	"almondseam.dev/core/state"
	"almondseam.dev/node/link"
	"almondseam.dev/node/wire"
)

// ClientOptions configures a Client.
type ClientOptions struct {
	// Seeds are addresses of control members, host:port. The client learns the
	// others from the members.
	Seeds []string
	// ReadSeeds returns the seeds as they are set now, empty if that is unknown. It is called before a
	// dial if all known addresses have failed since the last call, and may read a file. It may be nil.
	ReadSeeds func() []string
	// AvoidAddr is an address that is dialled only if no other is known.
	AvoidAddr string
	Link      link.Options
	// OnMembers is called with the link addresses of the whole group whenever a
	// member sends them; it may be nil.
	OnMembers func(addrs []string)
	// OnConfig is called with each newer revision, in ascending order. Like the other
	// callbacks, it is called while no other is, and must not block for long. Document is
	// read-only.
	OnConfig func(revision api.Revision, document []byte)
	// OnDrains is called with all targets that operators drain, whenever the list
	// changes. It may be nil.
	OnDrains func(targets []state.Drain)
	// OnEntries is called with all live entries, whenever they change. It may be nil.
	OnEntries func(list []wire.EntryInfo)
	// OnOrders is called with the targets that have an order waiting and none in
	// flight, whenever they change. It may be nil.
	OnOrders func(ready []api.TargetID)
	// OnEvacuated is called with all evacuated availability zones whenever they change, and
	// by HighestRevision, then on its caller's goroutine and beside other callbacks. A list
	// may be older than an earlier one, which its lower index shows. It may be nil.
	OnEvacuated func(state.Evacuated)
	// OnLimits is called with all limits that targets have stated whenever one changes. On a
	// new link, limits known to the member come before the first configuration. A list may be
	// older than an earlier one, which its lower index shows. It may be nil.
	OnLimits func(state.TargetLimits)
	// OnQuarantine is called with the list of quarantined requests whenever it changes, like
	// OnLimits. It may be nil.
	OnQuarantine func(quarantine.List)
	// Observer is notified of what the client learns and of what fails; it may be nil.
	Observer ClientObserver
	// Report returns the report that is sent about this process; it may be nil.
	Report      func() Report
	ReportEvery time.Duration
}

// withDefaults replaces callbacks and values that are not set.
func (opt ClientOptions) withDefaults() ClientOptions {
	if opt.OnConfig == nil {
		opt.OnConfig = func(api.Revision, []byte) {}
	}
	if opt.OnMembers == nil {
		opt.OnMembers = func([]string) {}
	}
	if opt.OnEntries == nil {
		opt.OnEntries = func([]wire.EntryInfo) {}
	}
	if opt.OnDrains == nil {
		opt.OnDrains = func([]state.Drain) {}
	}
	if opt.OnOrders == nil {
		opt.OnOrders = func([]api.TargetID) {}
	}
	if opt.OnEvacuated == nil {
		opt.OnEvacuated = func(state.Evacuated) {}
	}
	if opt.OnLimits == nil {
		opt.OnLimits = func(state.TargetLimits) {}
	}
	if opt.OnQuarantine == nil {
		opt.OnQuarantine = func(quarantine.List) {}
	}
	if opt.Observer == nil {
		opt.Observer = noClientObserver{}
	}
	if opt.ReportEvery == 0 {
		opt.ReportEvery = defaultReportEvery
	}
	return opt
}
