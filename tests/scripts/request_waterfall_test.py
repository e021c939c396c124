"""Tests of scripts/request_waterfall.py."""
import pathlib
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / 'scripts'))
import request_waterfall  # noqa: E402


def line(at_ms, event, request, rest):
    return (f'2026-03-09T23:57:0{at_ms // 1000}.{at_ms % 1000:03} INFO event={event} host=h1 '
            f'request={request} {rest}\n')


def dispatched(at_ms, request, waited_ms=0):
    return line(at_ms, 'request_dispatched', request, f'route=chat helpers="" waited_ms={waited_ms}')


def first_event(at_ms, request, took_ms, expected_ms=120):
    return line(at_ms, 'first_event', request, f'took_ms={took_ms} expected_ms={expected_ms}')


class RequestWaterfall(unittest.TestCase):
    def test_stream_has_its_steps(self):
        requests = request_waterfall.read_requests([
            dispatched(0, 'a', 20), first_event(130, 'a', 130),
            line(1130, 'request_ended', 'a', 'outcome=answered reason="" events=11')])
        self.assertEqual(1, len(requests))
        self.assertEqual(20, requests[0]['wait'])
        self.assertEqual(10, requests[0]['over estimate'])
        self.assertAlmostEqual(1000, requests[0]['stream'], places=3)
        self.assertAlmostEqual(100, requests[0]['pause'], places=3)

    def test_late_requests_name_the_step_that_took_the_time(self):
        requests = request_waterfall.read_requests([
            dispatched(0, 'held', 300), first_event(130, 'held', 130),
            dispatched(0, 'slow'), first_event(400, 'slow', 400),
            dispatched(0, 'retried'), dispatched(1000, 'retried', 1000),
            first_event(1130, 'retried', 130),
            dispatched(0, 'crowded'), first_event(270, 'crowded', 270, 260),
            dispatched(0, 'on_time'), first_event(130, 'on_time', 130)])
        self.assertEqual('  later than 250 ms: 4, wait at the host 1, engine beyond its estimate 1,'
                         ' earlier attempt 1, estimate 1',
                         request_waterfall.report(requests, {'chat': 250})[-1])

    def test_lines_without_a_request_are_ignored(self):
        self.assertEqual([], request_waterfall.read_requests(
            ['not a log line\n', '2026-03-09T23:57:00.000 INFO event=started host=h1\n']))


if __name__ == '__main__':
    unittest.main()
