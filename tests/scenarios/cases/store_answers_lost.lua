-- Responses of the store are repeatedly lost after the write took effect, and its connections are
-- reset. An order must not run while the write of its intent is unconfirmed.
start_fleet { nodes = 3, engines = 1, services = 1 }
local orders = offer_orders { callers = 8, pause_ms = 2 }
wait_for_answers(orders, 20)
for _ = 1, 6 do
    lose_answers(3, 1500)
    sleep(0.5)
    cut "store"
    wait_for_answers(orders, 10)
end
store_slow(700)
sleep(3)
store_slow(0)
wait_for_answers(orders, 30)
expect_all_holds()
