"""A whole marketplace of stand-in targets, built from a settings tree."""

from dataclasses import dataclass, field

from chervilstall.configuration.tree import Tree
from chervilstall.configuration.treefile import document_text
from chervilstall.ids import Revision, TargetId
from chervilstall.settings.documents import TargetDocument, TargetKind
from chervilstall.settings.ini import parse_ini
from chervilstall.settings.option import Address
from chervilstall.settings.problems import SettingsErrorCollector
from chervilstall.standin.engine import Engine, EngineOptions
from chervilstall.standin.fabric import Fabric
from chervilstall.standin.ledger import Ledger
from chervilstall.standin.processor import Processor
from chervilstall.standin.target_server import (
    EngineServer,
    PlainService,
    ServiceOptions,
    ServiceServer,
)
from chervilstall.target.contract import TargetState


@dataclass
class TargetCluster:
    """Running stand-ins for every target of a tree.

    `texts` holds the documents with the addresses that the stand-ins are bound to.
    """

    texts: dict[str, str]
    engine_options: EngineOptions = field(default_factory=EngineOptions)
    service_options: ServiceOptions = field(default_factory=ServiceOptions)
    ledger: Ledger = field(default_factory=Ledger)
    engines: dict[TargetId, EngineServer] = field(default_factory=dict)
    services: dict[TargetId, ServiceServer] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.fabric = Fabric(self.ledger)
        self.texts = dict(self.texts)
        tree = Tree.build(Revision(1), self.texts)
        for name, document in tree.targets().items():
            address = self._start(name, document)
            self._set_option(f"targets/{name}", "address", str(address))
        for (first, second), link in tree.links().items():
            processor = Processor(link.tokens_per_s)
            self.fabric.link_processors[(first, second)] = processor
            self.fabric.link_processors[(second, first)] = processor

    def _start(self, name: TargetId, document: TargetDocument) -> Address:
        if document.kind is TargetKind.SERVICE:
            service = PlainService(name, self.ledger, self.service_options)
            service_server = ServiceServer(service, document.address)
            self.services[name] = service_server
            return service_server.address
        state = TargetState(
            document.model,
            document.version,
            document.adapters,
            document.first_layer,
            document.end_layer,
        )
        base = self.engine_options
        options = EngineOptions(
            zone=document.zone,
            layer_tokens_per_s=document.layer_tokens_per_s,
            concurrency=document.concurrency,
            checks_fencing=document.checks_fencing,
            secret=base.secret,
            load_lag_s=base.load_lag_s,
            cache_event_gap=base.cache_event_gap,
            load_duration_s=base.load_duration_s,
        )
        engine = self.fabric.add(Engine(name, state, options))
        engine_server = EngineServer(self.fabric, engine, document.address)
        self.engines[name] = engine_server
        return engine_server.address

    def _set_option(self, path: str, option: str, value: str) -> None:
        sections = parse_ini(self.texts[path], SettingsErrorCollector(path))
        for section, options in sections.items():
            options[option] = value
            self.texts[path] = document_text(section, options)

    def stop(self) -> None:
        """Stop every stand-in."""
        for engine in self.engines.values():
            engine.stop()
        for service in self.services.values():
            service.stop()
