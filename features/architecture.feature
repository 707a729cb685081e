Feature: Structure of the code

  Scenario: The core has no input or output
    Guards against logic in the core that depends on a socket, file, clock or
    random number.
    When the imports of the core are read
    Then the core imports only attrs, cattrs, its own modules and
      """
      __future__ collections.abc collections copy enum functools hashlib
      heapq itertools json math operator typing bisect
      """

  Scenario: Modules are imported, not names
    Guards against names whose module is not visible where they are used.
    When the imports of all packages are read
    Then every "from" import of the project names a module

  Scenario: Only the adapter contains names of the platform's protocol
    Guards against logic that depends on the protocol of one platform.
    When the sources outside the adapter are read
    Then none of them contains a wire name of the platform

  Scenario: The adapter contains no scheduling logic
    Guards against state and decisions in the code that translates messages.
    When the imports of the adapter are read
    Then the adapter imports only types and entry points of the core
