#!/usr/bin/env python3
"""Shows where requests spend their time, from the logs of entry hosts.

    scripts/request_waterfall.py [--target ROUTE=MS ...] [LOG ...]

Reads the logs, or standard input. Prints for each route the 50th and 99th percentile in
milliseconds of the wait at the host, the time from dispatch to the first event, that time beyond
the estimate, the rest of the stream, and the pause between events. With a target, also how many
first events came later and which step took the time.
"""
import argparse
import collections
import datetime
import fileinput
import re
import sys

FIELD = re.compile(r'(\w+)=("[^"]*"|\S*)')
TIME = re.compile(r'\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}')
COLUMNS = ('wait', 'first event', 'over estimate', 'stream', 'pause')


def parse(line):
    """Returns the time in milliseconds and the fields of a log line about a request, or None."""
    time = TIME.search(line)
    if not time or ' request=' not in line:
        return None
    fields = {name: value.strip('"') for name, value in FIELD.findall(line[time.end():])}
    stamp = datetime.datetime.fromisoformat(time.group()).replace(tzinfo=datetime.timezone.utc)
    return stamp.timestamp() * 1000, fields


def read_requests(lines):
    """Collects the steps of each request by its id. A repeated dispatch replaces the first one."""
    requests = collections.defaultdict(lambda: {'attempts': 0})
    for line in lines:
        parsed = parse(line)
        if parsed is None:
            continue
        at, fields = parsed
        request = requests[fields['request']]
        event = fields.get('event')
        if event == 'request_dispatched':
            request['attempts'] += 1
            request['route'] = fields['route']
            request['wait'] = float(fields['waited_ms'])
        elif event == 'first_event':
            request['first_at'] = at
            request['first event'] = float(fields['took_ms'])
            request['over estimate'] = float(fields['took_ms']) - float(fields['expected_ms'])
        elif event == 'request_ended' and 'first_at' in request:
            request['stream'] = at - request['first_at']
            request['pause'] = request['stream'] / max(1, int(fields['events']) - 1)
    return [request for request in requests.values() if 'route' in request]


def percentile(values, fraction):
    ordered = sorted(values)
    return ordered[int(fraction * (len(ordered) - 1))]


def late_step(request):
    """Names the step in which a late request spent most of its time."""
    if request['attempts'] > 1:
        return 'earlier attempt'
    if request['wait'] > request['first event']:
        return 'wait at the host'
    expected = request['first event'] - request['over estimate']
    return 'engine beyond its estimate' if request['over estimate'] > expected / 2 else 'estimate'


def report(requests, targets):
    """Returns the lines of the report."""
    lines = []
    routes = collections.defaultdict(list)
    for request in requests:
        routes[request['route']].append(request)
    for route, all_of_route in sorted(routes.items(), key=lambda item: -len(item[1])):
        started = [request for request in all_of_route if 'first event' in request]
        lines.append(f'{route}: {len(all_of_route)} dispatched, {len(started)} with a first event')
        for column in COLUMNS:
            values = [request[column] for request in started if column in request]
            if values:
                lines.append(f'  {column:14} p50 {percentile(values, 0.5):8.0f}'
                             f'  p99 {percentile(values, 0.99):8.0f}')
        if route in targets:
            late = [request for request in started
                    if request['wait'] + request['first event'] > targets[route]]
            steps = collections.Counter(late_step(request) for request in late)
            lines.append(f'  later than {targets[route]:.0f} ms: {len(late)}' + ''.join(
                f', {step} {count}' for step, count in steps.most_common()))
    return lines


def main():
    parser = argparse.ArgumentParser(description='Shows where requests spend their time.')
    parser.add_argument('--target', action='append', default=[], metavar='ROUTE=MS')
    parser.add_argument('logs', nargs='*')
    arguments = parser.parse_args()
    targets = {}
    for target in arguments.target:
        route, separator, limit = target.partition('=')
        if not separator or not limit.replace('.', '', 1).isdigit():
            parser.error(f'--target {target}: expected ROUTE=MS')
        targets[route] = float(limit)
    with fileinput.input(arguments.logs, errors='replace') as lines:
        print('\n'.join(report(read_requests(lines), targets)))


if __name__ == '__main__':
    sys.exit(main())
