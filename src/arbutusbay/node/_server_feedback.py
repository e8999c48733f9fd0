"""Learn about backend servers from the responses and failures of attempts."""

from result import Err, Ok, Result

from arbutusbay.clock import now_s
from arbutusbay.fleet import RequestKind, RouteSpec
from arbutusbay.logs import get_logger
from arbutusbay.node._attempts import AttemptFailure, OpenResponse
from arbutusbay.node._node_state import NodeState
from arbutusbay.node._placement import Placement
from arbutusbay.platform import EngineLoad, ResponseHead
from arbutusbay.scheduling import AttemptOutcome, EngineView

_LOG = get_logger('placement')
_MAX_REQUESTED_PAUSE_S = 3600.0


class ServerFeedback:
    """Update the views of backend servers that placement reads."""

    def __init__(self, *, node_state: NodeState) -> None:
        """Notify the tasks of ``node_state`` of changes."""
        self.node_state = node_state

    def record_success(
        self, view: EngineView, route: RouteSpec, sent_s: float
    ) -> None:
        """Record a whole response to a request that was sent at ``sent_s``."""
        moment_s = now_s()
        view.record_success(moment_s)
        self.node_state.response_durations.record(route.name, moment_s - sent_s)
        has_paused = self.node_state.own_pauses.has_paused_since(
            sent_s, moment_s
        )
        if route.kind is not RequestKind.STREAM and not has_paused:
            self.node_state.speeds.record_call(
                view, route.name, sent_s, moment_s
            )

    def record_head(
        self,
        view: EngineView,
        model: str,
        opened: Result[OpenResponse, AttemptFailure],
    ) -> None:
        """Record what the headers of a response show about its server."""
        match opened:
            case Ok(OpenResponse(parsed_headers=head) as response):
                self.record_departure(view, head)
                self.record_load(view, head.load)
                self.record_weights(view, model, head.weights_version)
                if response.is_unproved_refusal:
                    self.record_requested_pause(view, head)
            case Err(AttemptFailure(response_head=ResponseHead() as head)):
                self.record_departure(view, head)
                self.record_requested_pause(view, head)

    def record_load(self, view: EngineView, load: EngineLoad | None) -> None:
        """Record the load that a response reports, if any."""
        if load is not None:
            view.record_load(
                running_requests=load.running,
                slowdown=load.slowdown,
                now_s=now_s(),
            )
            self.node_state.speeds.record_load(view)

    def record_departure(self, view: EngineView, head: ResponseHead) -> None:
        """Stop using a server whose response announces that it shuts down."""
        if head.is_leaving and not view.is_leaving:
            view.is_leaving = True
            _LOG.info('server leaves', fields={'server': view.id})
            self.node_state.notify_report_changed()
            self.node_state.notify_state_changed()

    def record_requested_pause(
        self, view: EngineView, head: ResponseHead
    ) -> None:
        """Record for how long a server wants no request, if it says so.

        That is about later requests, whether or not this one has run.
        """
        if not head.retry_after_s:
            return
        pause_s = min(_MAX_REQUESTED_PAUSE_S, head.retry_after_s)
        view.rejects_until_s = max(view.rejects_until_s, now_s() + pause_s)
        _LOG.info(
            'server asked for a pause',
            fields={'server': view.id, 'pause_s': pause_s},
        )

    def record_weights(
        self,
        view: EngineView,
        model: str,
        version: int | None,
    ) -> None:
        """Record the weights version that a response reports, if any."""
        if version is None or view.weights.get(model) == version:
            return
        view.set_weights_version(model, version, now_s())
        self.node_state.notify_report_changed()

    def record_mismatch(self, placement: Placement, instance: str) -> None:
        """Update the view of a server that did not meet expectations.

        If another instance answers at the address, or no weights version
        was expected, the server is avoided for a while. Otherwise its
        weights differ from the expected ones, for example because a load
        takes longer. Another version is expected next; if none is left, the
        server is avoided as well.
        """
        view = placement.view
        expected = placement.attempt_headers.weights_version
        model = placement.model
        if expected is None or instance not in {'', view.id}:
            view.record_failure(now_s())
            return
        target = self.node_state.catalog.targets.get(model)
        named_versions = target.named_versions() if target else ()
        next_expected = view.refuse_version(
            model, expected, named_versions, now_s()
        )
        if next_expected is None:
            view.record_failure(now_s())
        _LOG.info(
            'weights expected anew',
            fields={
                'server': view.id,
                'before': expected,
                'now': next_expected,
                'known': view.weights.get(model),
                'is_loading': view.is_loading_weights(now_s()),
            },
        )

    def record_failed_attempt(
        self, placement: Placement, failure: AttemptFailure
    ) -> None:
        """Record what a failed attempt shows about its server."""
        if failure.is_expectation_mismatch:
            self.record_mismatch(placement, failure.reported_instance)
        self.record_failure(placement.view, failure.outcome)

    def record_failure(self, view: EngineView, outcome: AttemptOutcome) -> None:
        """Avoid a backend server after a failed attempt.

        An attempt that this VM withdrew is no failure of the server, and all
        that were moved away from a silent one count as one failure. After a
        rejection it is only avoided for a moment; a load of weights that should
        have ended takes longer, then. A server error only raises the error rate
        of the server.
        """
        if outcome is AttemptOutcome.WITHDRAWN:
            return
        if outcome is AttemptOutcome.MOVED and view.is_in_backoff(now_s()):
            return
        if outcome is AttemptOutcome.REJECTED:
            view.postpone_load(now_s())
            view.record_rejection(now_s())
            return
        if outcome is AttemptOutcome.RAN_AND_FAILED:
            view.record_result(1, now_s())
            return
        pause_s = view.record_failure(now_s())
        _LOG.info(
            'server avoided',
            fields={
                'server': view.id,
                'outcome': outcome.value,
                'failures': view.consecutive_failures,
                'pause_s': pause_s,
            },
        )
