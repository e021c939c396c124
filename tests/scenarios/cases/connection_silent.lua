-- Every open connection to one engine and to the service stops passing data permanently; new ones
-- work. Requests on the silent connections must end by their deadline, and service must recover.
start_fleet { nodes = 2, engines = 2, services = 1 }
local streams = offer_streams { callers = 8, max_tokens_min = 40, max_tokens_max = 100 }
local orders = offer_orders { callers = 4 }
wait_for_answers(streams, 20)
silence "engine-1"
silence "service-1"
wait_for_answers(streams, 60)
wait_for_answers(orders, 30)
silence "engine-2"
wait_for_answers(streams, 60)
expect_all_holds()
