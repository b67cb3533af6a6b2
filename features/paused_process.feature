Feature: A daemon process that was paused refuses withdrawn keys

  Scenario: A request that waited while the process was paused is refused
    Given a fleet with 1 targets and 2 daemons
    And a daemon process "vm3" that serves the workspace "shop"
    When the process "vm3" is paused for 2.5 s and the key of "shop" is withdrawn
    Then the process refuses each request of "shop" that waited or arrives after the pause
