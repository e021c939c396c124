-- The store is away, first refusing and then silent. Completions go on; orders that may not be
-- repeated are told "not run", and run again when the store is back.
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
