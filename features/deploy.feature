Feature: The platform can build and start an entry VM from the deploy files

  Scenario: An entry VM needs only the pinned packages and no slow imports
    Then deploy/requirements.txt pins each package to one version
    And the process of an entry VM loads with these packages alone
    And it has loaded neither "numpy" nor "matplotlib"

  Scenario: The deploy file has one role that runs on the entry VMs
    Then deploy/system.toml has one role on "edge" that states the address of its metrics
    And its build installs only the packages of deploy/requirements.txt
