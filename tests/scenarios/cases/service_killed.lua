-- The service is killed while orders run. An order that may have run must not be run again.
start_fleet { nodes = 2, engines = 0, services = 1, service_delay_ms = 100 }
local orders = offer_orders { callers = 8, pause_ms = 5 }
for _ = 1, 2 do
    wait_for_answers(orders, 40)
    kill "service-1"
    sleep(1)
    restart "service-1"
end
wait_for_answers(orders, 40)
expect_all_holds()
