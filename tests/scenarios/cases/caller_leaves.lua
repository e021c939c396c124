-- Callers leave during a long prefill. The engines' memory is free again soon after, not only at
-- the deadline of the requests.
start_fleet { nodes = 2, engines = 1, services = 0, prefill_tokens_per_second = 1500,
              engine_memory_tokens = 60000, deadline_ms = 60000 }
for round = 1, 3 do
    local before = now_ms()
    leave_during_prefill("node-" .. (round - 1) % 2 + 1, 40000 + round)
    local left = now_ms()
    wait_until("the engine has its memory back", function()
        return held_tokens_of "engine-1" == 0
    end)
    note("caller stayed " .. left - before .. " ms, memory back after " .. now_ms() - left .. " ms")
    print("memory back " .. now_ms() - left .. " ms after the caller left")
    expect("the memory came back before the prefill could have ended", now_ms() - before < 20000)
end
expect_all_holds()
