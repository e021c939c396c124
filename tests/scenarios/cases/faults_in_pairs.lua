-- Injects random faults, drawn from the seed, two at a time under load. scripts/soak.sh runs this
-- scenario for longer.
math.randomseed(seed())
start_fleet { nodes = 4, engines = 3, services = 2, service_delay_ms = 30 }
local streams = offer_streams { callers = 8, max_tokens_min = 10, max_tokens_max = 100 }
local urgent = offer_plain { callers = 2, rank = "urgent", customer = "corner-shop" }
local orders = offer_orders { callers = 6, ask_again = true }

local function any(names) return names[math.random(#names)] end

-- Each fault is a function that starts the fault and returns the function that ends it.
local faults = {
    function() local name = any(nodes()); kill(name); return function() restart(name) end end,
    function() local name = any(nodes()); freeze(name); return function() wake(name) end end,
    function() local name = any(engines()); kill(name); return function() restart(name) end end,
    function() local name = any(services()); kill(name); return function() restart(name) end end,
    function() local name = any(engines()); silence(name); return function() end end,
    function() local name = any(services()); cut(name); return function() end end,
    function() silence "store"; return function() end end,
    function() store_out(4, math.random(2) == 1); return function() end end,
    function() lose_answers(math.random(6), 1000); return function() end end,
    function() store_slow(1500); return function() store_slow(0) end end,
    function() lapse_leases(); return function() end end,
    function()
        local flood = offer_streams { callers = 30, rank = any { "patient", "urgent" },
                                      pause_ms = 0, prompt_bytes_min = 2000,
                                      prompt_bytes_max = 6000 }
        return function() load_stop(flood) end
    end,
}

local until_ms = now_ms() + soak_seconds(15) * 1000
repeat
    wait_for_answers(streams, 10)
    local first, second = math.random(#faults), math.random(#faults)
    local end_first = faults[first]()
    sleep(math.random() * 0.5)
    -- Draws the second fault again if it would kill the same process as the first.
    local started, end_second = pcall(faults[second])
    sleep(1 + math.random() * 3)
    end_first()
    if started then end_second() end
    wait_for_answers(streams, 20)
    wait_for_answers(orders, 10)
until now_ms() > until_ms
expect_all_holds()
