from dapplewick.cli import main

main()
