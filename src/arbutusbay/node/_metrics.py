"""Define the Prometheus metrics of the node daemon."""

from collections.abc import Collection, Iterable, Mapping

from aioprometheus import REGISTRY, Counter, Gauge, Histogram
from aioprometheus.renderer import render

from arbutusbay.fairness import ExpectedReturns, FleetQueues
from arbutusbay.fleet import RequestKind
from arbutusbay.node._node_state import RelayForm
from arbutusbay.pacing import DatagramPacer, Lane
from arbutusbay.reader_budget import READERS, ReaderBudget
from arbutusbay.scheduling import EngineView, time_factor

_BUCKETS_S = (0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8)


class NodeMetrics:
    """Hold the metrics of this process."""

    def __init__(self) -> None:
        """Create and register all metrics."""
        self.requests = Counter(
            'arbutusbay_requests_total',
            'Requests that were answered or cut, by kind.',
        )
        self.refusals = Counter(
            'arbutusbay_refusals_total',
            'Requests answered with an error of our own, by error kind.',
        )
        self.streams_cut = Counter(
            'arbutusbay_streams_cut_total',
            'Streams ended early after their response had started, by reason.',
        )
        self.prefix_placements = Gauge(
            'arbutusbay_prefix_placements_total',
            'Requests with a shared prefix, by owner and whether it is saved.',
        )
        self.stores_left_out = Gauge(
            'arbutusbay_cache_stores_left_out',
            'Stores of KV cache that no request names, as they are silent.',
        )
        self.duration = Histogram(
            'arbutusbay_request_duration_seconds',
            'Time from the head of a request to its end, by kind.',
            buckets=list(_BUCKETS_S),
        )
        self.store_calls = Gauge(
            'arbutusbay_store_calls_total',
            'Calls to the store.',
        )
        self.relayed_bytes = Gauge(
            'arbutusbay_relayed_bytes_total',
            'Bytes of responses to VMs that follow this one, by form.',
        )
        self.quarantined_segments = Gauge(
            'arbutusbay_quarantined_segments',
            'Prompt segments that are kept from the engines.',
        )
        self.recent_engine_ends = Gauge(
            'arbutusbay_recent_engine_ends',
            'Engines that ended under requests in the last minute.',
        )
        self.waiting_requests = Gauge(
            'arbutusbay_waiting_requests',
            'Requests that wait for a place here, by service and rank.',
        )
        self.left_places = Gauge(
            'arbutusbay_left_places_total',
            'Places left to requests at other VMs, by service.',
        )
        self.returned_requests = Gauge(
            'arbutusbay_returned_requests_total',
            'Requests that came back as their refusal asked them to.',
        )
        self.server_speed = Gauge(
            'arbutusbay_server_speed',
            'Speed of a backend server, 1 for a usual one of its service.',
        )
        self.server_taken_requests = Gauge(
            'arbutusbay_server_taken_requests',
            'Requests up to which a backend server hardly slows down.',
        )
        self.report_bytes = Gauge(
            'arbutusbay_report_bytes_total',
            'Bytes of reports sent to other VMs, by lane.',
        )
        self.replaced_reports = Gauge(
            'arbutusbay_replaced_reports_total',
            'Reports that a newer one replaced before they were sent, by lane.',
        )
        self.unread_bytes = Gauge(
            'arbutusbay_unread_bytes',
            'Bytes held for clients that are behind in reading.',
        )
        self.clients_behind = Gauge(
            'arbutusbay_clients_behind',
            'Clients that are awaited, while their server is held back.',
        )
        self.client_waits = Gauge(
            'arbutusbay_client_waits_total',
            'How often a client that was behind was awaited.',
        )
        self.log_lines_dropped = Gauge(
            'arbutusbay_log_lines_dropped_total',
            'Log lines dropped because standard output was full.',
        )

    def observe_request(self, kind: RequestKind, elapsed_s: float) -> None:
        """Record one finished request that took ``elapsed_s`` seconds."""
        labels = {'kind': kind.value}
        self.requests.inc(labels)
        self.duration.observe(labels, elapsed_s)

    def observe_queues(
        self, queues: FleetQueues, returns: ExpectedReturns, now_s: float
    ) -> None:
        """Record what waits here and came back, and what places were left."""
        self.returned_requests.set({}, returns.taken_count)
        for service, known in queues.by_service.items():
            labels = {'service': service}
            self.left_places.set(labels, known.left_places.left_count)
            counts = known.queue.counts_by_rank(now_s) if known.queue else {}
            known.shown_ranks |= counts.keys()
            for rank in known.shown_ranks:
                self.waiting_requests.set(
                    {**labels, 'rank': str(rank)}, counts.get(rank, 0)
                )

    def show_prefixes(
        self,
        placements: Mapping[tuple[bool, bool], int],
        stores_left_out: Collection[str],
    ) -> None:
        """Set how many requests with a shared prefix went where."""
        self.stores_left_out.set({}, len(stores_left_out))
        for (is_first, is_saved), count in placements.items():
            labels = {
                'owner': 'first' if is_first else 'other',
                'saved': 'yes' if is_saved else 'no',
            }
            self.prefix_placements.set(labels, count)

    def show_sent_bytes(
        self, relayed_bytes: Mapping[RelayForm, int], pacer: DatagramPacer
    ) -> None:
        """Set what was sent to other VMs, and what was replaced before."""
        for form, size_bytes in relayed_bytes.items():
            self.relayed_bytes.set({'form': form.value}, size_bytes)
        for lane in Lane:
            labels = {'lane': lane.value}
            self.report_bytes.set(labels, pacer.sent_bytes[lane])
            self.replaced_reports.set(labels, pacer.replaced_count[lane])

    def show_servers(
        self, views: Iterable[EngineView], moment_s: float
    ) -> None:
        """Set what is known of the servers, and drop those that are gone."""
        self.server_speed.values.clear()
        self.server_taken_requests.values.clear()
        for view in views:
            labels = {'server': view.id, 'service': view.service}
            self.server_speed.set(labels, 1 / time_factor(view, moment_s))
            self.server_taken_requests.set(
                labels, view.speed.taken_requests(view.slots)
            )

    def render(self) -> tuple[bytes, dict[str, str]]:
        """Return the metrics in the text format, and its HTTP headers."""
        self._show_readers(READERS)
        return render(REGISTRY, [])

    def _show_readers(self, budget: ReaderBudget) -> None:
        """Set what is held for clients that are behind."""
        self.unread_bytes.set({}, budget.held_bytes)
        self.clients_behind.set({}, budget.behind_count)
        self.client_waits.set({}, budget.wait_count)
