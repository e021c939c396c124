-- Every order is sent to two nodes at once, and again after its answer, while a node is killed and
-- responses of the store are lost. Each order may run at most once.
start_fleet { nodes = 3, engines = 0, services = 1, service_delay_ms = 50 }
local duplicates = offer_orders { callers = 6, twins = true, ask_again = true }
wait_for_answers(duplicates, 30)
lose_answers(5, 1000)
wait_for_answers(duplicates, 20)
kill "node-3"
wait_for_answers(duplicates, 30)
restart "node-3"
wait_for_answers(duplicates, 20)
expect_all_holds()
