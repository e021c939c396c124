-- Callers disconnect during a long prefill. The engine's memory must be freed within two seconds;
-- freeing it only at the end of the prefill would take twenty.
local STAY_MS, FREE_WITHIN_MS, LOADED_MACHINE_MS = 2000, 2000, 2000
start_fleet { nodes = 2, engines = 1, services = 0, prefill_tokens_per_second = 1500,
              engine_memory_tokens = 80000, deadline_ms = 60000 }
for round = 1, 2 do
    local asked = now_ms()
    leave_during_prefill("node-" .. round, 30000 + round * 1024, STAY_MS / 1000)
    wait_until("the engine holds memory for it", function()
        return held_tokens_of "engine-1" > 30000
    end, 10)
    wait_until("the engine has its memory back", function()
        return held_tokens_of "engine-1" == 0
    end)
    local kept_ms = now_ms() - asked
    print("memory back " .. kept_ms - STAY_MS .. " ms after the caller left")
    expect("the memory comes back soon after the caller left, it took " .. kept_ms - STAY_MS ..
        " ms", kept_ms < STAY_MS + FREE_WITHIN_MS + LOADED_MACHINE_MS)
end
expect_all_holds()
