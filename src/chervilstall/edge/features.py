"""Which optional decisions of a router are in force."""

from dataclasses import dataclass

from chervilstall.fleet.view import FleetView
from chervilstall.settings.edge import EdgeSettings, FeatureMode


@dataclass
class Features:
    """The operator's choices, applied to the configuration that is in force."""

    settings: EdgeSettings
    fleet_view: FleetView

    def is_in_force(self, mode: FeatureMode) -> bool:
        """Return whether a feature with this mode is in force at present."""
        configuration = self.fleet_view.configuration
        return mode.is_in_force(
            configuration is not None and configuration.ranks_pipeline
        )

    def spreads_moves(self) -> bool:
        """Return whether streams leave a draining target one after the other."""
        return self.is_in_force(self.settings.streams.spread_moves)

    def checks_stages(self) -> bool:
        """Return whether the stages of silent streams are probed."""
        return self.is_in_force(self.settings.streams.check_stages)

    def admits_by_room(self) -> bool:
        """Return whether streams are admitted by room, priority and workspace."""
        return self.is_in_force(self.settings.admission.mode)

    def exchanges_load(self) -> bool:
        """Return whether routers tell each other the load that they put on targets."""
        return self.is_in_force(self.settings.load_exchange.mode)

    def guides_paths(self, is_short: bool) -> bool:
        """Return whether load that others report counts in the choice of paths.

        `is_short` says whether targets are short of room. With `AUTO`, the load counts
        only then: with enough room, the fastest path matters more than the emptiest.
        """
        mode = self.settings.load_exchange.guides_paths
        if mode is FeatureMode.AUTO and not (is_short and self.admits_by_room()):
            return False
        return self.is_in_force(mode)

    def weighs_prompts(self) -> bool:
        """Return whether paths and sends depend on the size of prompts."""
        return self.is_in_force(self.settings.prompts.mode)

    def keeps_report_connections(self) -> bool:
        """Return whether reports and health checks reuse connections."""
        return self.is_in_force(self.settings.connections.keep_for_reports)

    def keeps_request_connections(self) -> bool:
        """Return whether requests that may be repeated reuse connections."""
        return self.is_in_force(self.settings.connections.keep_for_requests)
