-- A node is paused for longer than its leases and then resumed. It must not act on its expired
-- leases: no order runs twice, no call answered "not run" runs later, and the memory of its old
-- streams is freed.
start_fleet { nodes = 3, engines = 2, services = 1 }
local streams = offer_streams { callers = 6, max_tokens_min = 20, max_tokens_max = 80 }
local orders = offer_orders { callers = 8, pause_ms = 2 }
wait_for_answers(orders, 20)
freeze "node-1"
sleep(7)
wait_for_answers(streams, 20)
wake "node-1"
wait_for_answers(orders, 40)
wait_for_answers(streams, 20)
expect_all_holds()
