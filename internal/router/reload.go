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

// reloadPlan contains validated settings that a reload applies.
type reloadPlan struct {
	contracts contract.Settings
	shedding  *shedding.Settings
	keys      [][]byte
}

// Reload applies new settings while the router runs: the address of the discovery agent, the admission limits, the
// contracts, load shedding, the members' keys and the access log. All other settings apply from the next start. The
// current endpoint list remains in use until the new agent's list is received. If Reload returns an error, it has
// changed nothing.
func (router *Router) Reload(platform *platformconfig.Config, site *siteconfig.Config) error {
	if err := router.checkServices(site); err != nil {
		return err
	}
	plan, err := router.planReload(site)
	if err != nil {
		return err
	}
	if router.acceptor != nil {
		if err := router.acceptor.reload(site.Admission); err != nil {
			return err
		}
	}
	if router.loop.contracts != nil {
		if err := router.loop.contracts.reload(plan.contracts, plan.shedding); err != nil {
			return err
		}
	}
	if router.membership != nil {
		router.membership.peers.SetKeys(plan.keys)
	}
	router.accessLog.settings.Store(site.Log)
	slog.Info("reloaded", "discovery", platform.Discovery)
	router.watcher.SetAgent(platform.Discovery)
	return nil
}

// checkServices returns an error if the new settings would enable or disable a service.
func (router *Router) checkServices(site *siteconfig.Config) error {
	if (site.Admission != nil) != (router.acceptor != nil) {
		return errors.New("admission can't be enabled or disabled by a reload")
	}
	if (site.Contracts != nil) != (router.loop.contracts != nil) {
		return errors.New("contracts can't be enabled or disabled by a reload")
	}
	if (site.Members != nil) != (router.membership != nil) {
		return errors.New("members can't be enabled or disabled by a reload")
	}
	if !reflect.DeepEqual(site.Feeds, router.feedSettings()) {
		return errors.New("feeds can't be changed by a reload")
	}
	if (site.Recovery != nil) != (router.recovery != nil) {
		return errors.New("recovery can't be enabled or disabled by a reload")
	}
	return nil
}

// planReload validates the settings that a reload applies.
func (router *Router) planReload(site *siteconfig.Config) (reloadPlan, error) {
	var plan reloadPlan
	var err error
	if router.membership != nil {
		if plan.keys, err = router.membership.reload(site.Members); err != nil {
			return plan, err
		}
	}
	if router.loop.contracts != nil {
		if plan.contracts, err = router.loop.contracts.contractSettings(site.Contracts); err != nil {
			return plan, err
		}
		if plan.shedding, err = router.loop.contracts.sheddingSettings(site); err != nil {
			return plan, err
		}
	}
	return plan, nil
}

// feedSettings returns the current change feed settings, or nil.
func (router *Router) feedSettings() *siteconfig.Feeds {
	if router.changefeed == nil {
		return nil
	}
	return router.changefeed.settings
}
