-- Without faults, streams, plain completions and orders all succeed.
start_fleet { nodes = 3, engines = 2, services = 1 }
local streams = offer_streams { callers = 6 }
local plain = offer_plain { callers = 2, customer = "corner-shop", rank = "urgent" }
local orders = offer_orders { callers = 4 }
for _, load in ipairs { streams, plain, orders } do wait_for_answers(load, 40) end
expect_all_holds()
