"""Send calls to services and retry them where that is safe.

Services are backend servers that are not engines.
"""

import time

import aiohttp
import attrs
from result import Err, Ok, Result

from arbutusbay.backend import ServiceCall, ServiceResponse, call_service
from arbutusbay.errors import ErrorKind, Failure, RunState
from arbutusbay.router._shared_state import RouterState, ServiceState
from arbutusbay.router._stop_decision import refuse_call_for_stop

_FAILURE_BACKOFF_S = 1.0
_MIN_TIME_LEFT_S = 0.05


class ServiceCaller:
    """Choose services and send calls to them."""

    def __init__(
        self,
        *,
        shared_state: RouterState,
        session: aiohttp.ClientSession,
    ) -> None:
        """Create a caller; ``session`` must not reuse connections.

        On a reused connection, a failure to send doesn't show whether the
        backend server received the request.
        """
        self.shared_state = shared_state
        self.session = session

    async def send_non_idempotent(
        self,
        pool: str,
        call: ServiceCall,
    ) -> Result[ServiceResponse, Failure]:
        """Send ``call`` so that at most one backend server runs it.

        Tries another backend server only if the last one certainly did not
        run the call, as after a failure to connect. Fails with
        ``NO_BACKEND_SERVER`` or the failure of the last one tried.
        """
        return await self._send(pool, call, is_idempotent=False)

    async def send_idempotent(
        self,
        pool: str,
        call: ServiceCall,
    ) -> Result[ServiceResponse, Failure]:
        """Send ``call`` to backend servers in turn until one responds.

        Fails with ``NO_BACKEND_SERVER`` or the failure of the last one
        that may have run the call.
        """
        return await self._send(pool, call, is_idempotent=True)

    async def _send(
        self,
        pool: str,
        call: ServiceCall,
        *,
        is_idempotent: bool,
    ) -> Result[ServiceResponse, Failure]:
        tried: set[str] = set()
        began_s = time.monotonic()
        deadline_s = began_s + call.timeout_s
        answer: Result[ServiceResponse, Failure] = Err(_no_backend_server(pool))
        for _ in range(self.shared_state.settings.limits.max_attempts):
            service = self._choose(pool, tried)
            if (
                service is None
                or time.monotonic() + _MIN_TIME_LEFT_S > deadline_s
            ):
                return answer
            refused = refuse_call_for_stop(
                self.shared_state,
                pool,
                received_s=began_s,
                deadline_s=deadline_s,
            )
            if refused is not None:
                return _combined(answer, Err(refused))
            tried.add(service.name)
            attempt = attrs.evolve(
                call, timeout_s=deadline_s - time.monotonic()
            )
            answer = _combined(answer, await self._call(service, attempt))
            if not _may_retry(answer, is_idempotent=is_idempotent):
                return answer
        return answer

    async def _call(
        self,
        service: ServiceState,
        call: ServiceCall,
    ) -> Result[ServiceResponse, Failure]:
        sent_s = time.monotonic()
        service.in_flight += 1
        try:
            answer = await call_service(self.session, service.url, call)
        finally:
            service.in_flight -= 1
        if answer.is_err():
            service.backoff_until_s = time.monotonic() + _FAILURE_BACKOFF_S
        else:
            self.shared_state.durations.record(
                service.pool, time.monotonic() - sent_s
            )
        return answer

    def _choose(self, pool: str, tried: set[str]) -> ServiceState | None:
        services = [
            service
            for service in self.shared_state.services_in_pool(pool)
            if service.name not in tried and not service.draining
        ]
        now_s = time.monotonic()
        own_zone = self.shared_state.settings.node.zone
        return min(
            services,
            key=lambda service: (
                service.backoff_until_s > now_s,
                service.in_flight,
                service.zone != own_zone,
                self.shared_state.rng.random(),
            ),
            default=None,
        )


def _combined(
    earlier: Result[ServiceResponse, Failure],
    latest: Result[ServiceResponse, Failure],
) -> Result[ServiceResponse, Failure]:
    """Return ``latest``, unless only ``earlier`` may have run the call."""
    match earlier, latest:
        case Err(before), Err(failure) if failure.is_not_run:
            return latest if before.is_not_run else earlier
    return latest


def _may_retry(
    answer: Result[ServiceResponse, Failure],
    *,
    is_idempotent: bool,
) -> bool:
    match answer:
        case Ok():
            return False
        case Err(failure):
            return is_idempotent or failure.is_not_run


def _no_backend_server(pool: str) -> Failure:
    return Failure(
        kind=ErrorKind.NO_BACKEND_SERVER,
        detail=f'no backend server in pool {pool!r} was available in time',
        run_state=RunState.NOT_RUN,
    )
