-- Nodes are killed under load one after the other and restart without state. Callers switch to
-- other nodes; no order runs twice, and no engine keeps memory for the streams of the killed nodes.
start_fleet { nodes = 3, engines = 2, services = 1, service_delay_ms = 100 }
local streams = offer_streams { callers = 8, max_tokens_min = 20, max_tokens_max = 200 }
local orders = offer_orders { callers = 8, pause_ms = 5 }
wait_for_answers(streams, 20)
for _, name in ipairs { "node-2", "node-3" } do
    kill(name)
    wait_for_answers(streams, 30)
    wait_for_answers(orders, 30)
    restart(name)
    wait_for_answers(streams, 10)
end
expect_all_holds()
