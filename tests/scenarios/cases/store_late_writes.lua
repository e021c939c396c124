-- The store is so slow that writes take effect after their writers gave up. A call answered "not
-- run" must not run later, and its key must not stay blocked.
start_fleet { nodes = 3, engines = 0, services = 1 }
local orders = offer_orders { callers = 6, ask_again = true }
wait_for_answers(orders, 20)
for _ = 1, 3 do
    store_slow(4000)
    sleep(2)
    store_slow(0)
    wait_for_answers(orders, 15)
end
expect_all_holds()
