-- Every lease expires under load, twice. Membership and ownership must continue.
start_fleet { nodes = 3, engines = 2, services = 1 }
local streams = offer_streams { callers = 6 }
local orders = offer_orders { callers = 4 }
for _ = 1, 2 do
    wait_for_answers(streams, 30)
    lapse_leases()
end
wait_for_answers(streams, 60)
wait_for_answers(orders, 30)
expect_all_holds()
