-- An engine and a service are listed as leaving. After a few seconds neither may receive requests.
start_fleet { nodes = 2, engines = 3, services = 2 }
local streams = offer_streams { callers = 8 }
local orders = offer_orders { callers = 4 }
wait_for_answers(streams, 30)
wait_for_answers(orders, 20)
leave "engine-2"
leave "service-1"
sleep(LEAVING_BOUND_MS / 1000)
wait_for_answers(streams, 100)
wait_for_answers(orders, 40)
expect_all_holds()
