-- Every order is sent to two nodes at once, and once more after its answer, while a node dies and
-- answers of the store are lost. Each order runs at most once.
start_fleet { nodes = 3, engines = 0, services = 1, service_delay_ms = 50 }
local twins = offer_orders { callers = 6, twins = true, ask_again = true }
wait_for_answers(twins, 30)
lose_answers(5, 1000)
wait_for_answers(twins, 20)
kill "node-3"
wait_for_answers(twins, 30)
restart "node-3"
wait_for_answers(twins, 20)
expect_all_holds()
