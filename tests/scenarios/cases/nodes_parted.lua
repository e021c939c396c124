-- No node hears another for longer than it takes to suspect it, and each takes every engine for
-- its own. Two owners at once do no harm, and after the join service is normal again.
start_fleet { nodes = 3, engines = 2, services = 1, data_centres = { "centre-1", "centre-2" } }
local streams = offer_streams { callers = 8, max_tokens_min = 20, max_tokens_max = 100 }
local orders = offer_orders { callers = 4 }
wait_for_answers(streams, 20)
part_nodes()
sleep(6)
wait_for_answers(streams, 30)
wait_for_answers(orders, 20)
join_nodes()
wait_for_answers(streams, 60)
wait_for_answers(orders, 20)
expect_all_holds()
