-- All nodes are partitioned from each other until they suspect one another, and each becomes the
-- owner of every engine. Several owners at once must do no harm, and service must return to normal
-- after the partition heals.
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
