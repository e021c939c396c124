-- The store is unavailable: first it refuses connections, then it does not respond. Completions
-- continue; non-idempotent orders are answered "not run" and succeed again when the store is back.
start_fleet { nodes = 3, engines = 2, services = 1 }
local streams = offer_streams { callers = 6 }
local orders = offer_orders { callers = 4 }
wait_for_answers(orders, 20)
store_out(8)
wait_for_answers(streams, 100)
wait_for_answers(orders, 20)
store_out(8, true)
wait_for_answers(streams, 100)
wait_for_answers(orders, 20)
expect_all_holds()
