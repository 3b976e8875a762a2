package router

import (
	"errors"
	"log/slog"
	"reflect"

	"lotushook/internal/platformconfig"
	"lotushook/internal/siteconfig"
	"lotushook/policy/contract"
	"lotushook/policy/shedding"
)

// reloadPlan is what a reload puts in force, once all of it is known to be valid.
type reloadPlan struct {
	contracts contract.Settings
	shedding  *shedding.Settings
	keys      [][]byte
}

// Reload takes new settings over while the router runs: the configuration's agent, the limits of admission, and the
// contracts. All else holds from the next start on. The old list serves until the new agent's is in. After an error
// nothing has changed.
func (r *Router) Reload(config *platformconfig.Config, own *siteconfig.Config) error {
	if err := r.checkServices(own); err != nil {
		return err
	}
	plan, err := r.planReload(own)
	if err != nil {
		return err
	}
	if r.acceptor != nil {
		if err := r.acceptor.reload(own.Admission); err != nil {
			return err
		}
	}
	if r.loop.contracts != nil {
		if err := r.loop.contracts.reload(plan.contracts, plan.shedding); err != nil {
			return err
		}
	}
	if r.membership != nil {
		r.membership.peers.SetKeys(plan.keys)
	}
	r.accessLog.settings.Store(own.Log)
	slog.Info("reloaded", "discovery", config.Discovery)
	r.watcher.SetAgent(config.Discovery)
	return nil
}

// checkServices refuses settings that would switch a service on or off.
func (r *Router) checkServices(own *siteconfig.Config) error {
	if (own.Admission != nil) != (r.acceptor != nil) {
		return errors.New("admission can't be switched on or off in service")
	}
	if (own.Contracts != nil) != (r.loop.contracts != nil) {
		return errors.New("contracts can't be switched on or off in service")
	}
	if (own.Members != nil) != (r.membership != nil) {
		return errors.New("members can't be switched on or off in service")
	}
	if !reflect.DeepEqual(own.Feeds, r.feedSettings()) {
		return errors.New("feeds can't change in service")
	}
	if (own.Recovery != nil) != (r.recovery != nil) {
		return errors.New("recovery can't be switched on or off in service")
	}
	return nil
}

// planReload validates all that a reload puts in force.
func (r *Router) planReload(own *siteconfig.Config) (reloadPlan, error) {
	var plan reloadPlan
	var err error
	if r.membership != nil {
		if plan.keys, err = r.membership.reload(own.Members); err != nil {
			return plan, err
		}
	}
	if r.loop.contracts != nil {
		if plan.contracts, err = r.loop.contracts.contractSettings(own.Contracts); err != nil {
			return plan, err
		}
		if plan.shedding, err = r.loop.contracts.sheddingSettings(own); err != nil {
			return plan, err
		}
	}
	return plan, nil
}

// feedSettings are the settings in force; nil: there are none.
func (r *Router) feedSettings() *siteconfig.Feeds {
	if r.changefeed == nil {
		return nil
	}
	return r.changefeed.settings
}
