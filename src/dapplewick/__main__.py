from dapplewick.cli.main import main

main()
